package review2;

import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;


/**
 * A store, gateway processes, and a record. The
 * configuration is that of the smallest deployment: one service of engines, one plain service.
 */
final class Deployment {

  static final String HOST = "ficu95.example";
  static final int BOOK_TIMEOUT_MS = 800;
  static final String KEY = "xd9dnn2ctnfzs989anu6";

  final Store store = new Store();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintStream record;
  private final Path directory = Files.createTempDirectory("review2");
  private final long startNs = System.nanoTime();
  private final List<GatewayProcess> gateways = new ArrayList<>();

  Deployment() throws Exception {
    record = new PrintStream(Files.newOutputStream(Path.of(System.getProperty("record"))), true);
    store.put("op/config", configuration());
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  private static String configuration() {
    String engine =
        "{\"Slots\":24,\"KvCacheTokens\":34360,\"KvTokenBytes\":18432,\"LinkMbps\":2700.0,"
            + "\"Moves\":true,\"Backups\":true,\"Stride\":4,\"most\":12,\"PinMs\":4000.0,"
            + "\"HoldMs\":2000.0,\"SessionHandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}";
    return "{\"Version\":7,\"Routes\":["
        + route("draft", "/draft/", "streaming", 39_000, 1_800, "llm", 1, ",\"TargetGapMs\":180")
        + ","
        + route("book", "/book/", "non_idempotent", BOOK_TIMEOUT_MS, 121, "desk", 1, "")
        + ","
        + route("look", "/look/", "idempotent", BOOK_TIMEOUT_MS, 121, "desk", 2, "")
        + "],\"Services\":[{\"Name\":\"llm\",\"HealthCheckPath\":\"/health\","
        + "\"ConnectionLimit\":232,\"Protocol\":\"h1\",\"TlsEnabled\":false,\"InferenceEngine\":"
        + engine
        + "},{\"Name\":\"desk\",\"HealthCheckPath\":\"/health\",\"ConnectionLimit\":96,"
        + "\"Protocol\":\"h1\",\"TlsEnabled\":false}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        + "\"Tenants\":[{\"Name\":\"huka270\",\"ApiKeys\":[\""
        + KEY
        + "\"],\"Priority\":1}]}";
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      int timeoutMs,
      int aimMs,
      String service,
      int attempts,
      String more) {
    boolean stream = kind.equals("streaming");
    return "{\"Name\":\""
        + name
        + "\",\"Host\":\""
        + HOST
        + "\",\"Prefix\":\""
        + prefix
        + "\",\"Kind\":\""
        + kind
        + "\",\"TimeoutMs\":"
        + timeoutMs
        + ",\"TargetLatencyMs\":"
        + aimMs
        + ",\"Priority\":1,\"Service\":\""
        + service
        + "\",\"MaxAttempts\":"
        + attempts
        + ",\"Public\":false,\"StickySessions\":"
        + stream
        + ",\"StreamResumption\":false"
        + more
        + "}";
  }

  /** Writes the entry of a server, as the server itself does. */
  void register(String id, String service, String address, int slots, String state, long born) {
    store.put(
        "servers/" + id,
        "{\"Service\":\""
            + service
            + "\",\"Address\":\""
            + address
            + "\",\"Zone\":\"liberia-a\",\"Version\":1,\"Slots\":"
            + slots
            + ",\"State\":\""
            + state
            + "\",\"ColdRemainingMs\":0,\"SequenceNumber\":1,\"born\":"
            + born
            + "}");
  }

  /** Starts the gateway and waits until it is ready. */
  void startGateway() throws Exception {
    startGateways(1);
  }

  /** Starts several gateways and waits until they are ready. */
  void startGateways(int count) throws Exception {
    List<Integer> ports = freePorts(4 * count);
    String seeds =
        IntStream.range(0, count)
            .mapToObj(i -> "\"127.0.0.1:" + ports.get(4 * i) + "\"")
            .collect(Collectors.joining(",", "[", "]"));
    for (int i = 0; i < count; i++) {
      List<Integer> own = ports.subList(4 * i, 4 * i + 4);
      gateways.add(new GatewayProcess(this, directory, i + 1, own, seeds));
    }
    for (GatewayProcess gateway : gateways) {
      gateway.start();
    }
  }

  /** Returns the gateways in the order of their numbers. */
  List<GatewayProcess> gateways() {
    return gateways;
  }

  Process gateway() {
    return gateways.get(0).process();
  }

  /** Notes whether the gateway has ended by itself; returns whether it has. */
  boolean noteEnd() throws IOException {
    return gateways.get(0).noteEnd();
  }

  Socket connect() throws IOException {
    return gateways.get(0).connect(0);
  }

  Socket connect(int receiveBuffer) throws IOException {
    return gateways.get(0).connect(receiveBuffer);
  }

  static String head(String method, String uri, String id, long deadlineMs, String more) {
    return method
        + " "
        + uri
        + " HTTP/1.1\r\nHost: "
        + HOST
        + "\r\nAuthorization: Token "
        + KEY
        + "\r\nX-Sequoiareach-Attempt-Id: "
        + id
        + "\r\nX-Sequoiareach-Deadline-Ms: "
        + deadlineMs
        + "\r\n"
        + more
        + "\r\n";
  }

  static String generation(int prompt, int output) {
    return "X-Sequoiareach-Model: m\r\nX-Sequoiareach-Token-Counts: "
        + prompt
        + ","
        + output
        + "\r\nX-Sequoiareach-Prompt-Prefix: 5c1e07a2:79,91bd3f06:"
        + (prompt - 79)
        + "\r\n";
  }

  int readiness() {
    return gateways.get(0).readiness();
  }

  static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> held = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0);
      held.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : held) {
      socket.close();
    }
    return ports;
  }

  synchronized void note(String text) {
    record.printf("%8.3f %s%n", (System.nanoTime() - startNs) / 1e9, text);
  }

  /** Ends the gateways and removes their files, however the case ends. */
  private void end() {
    try {
      for (GatewayProcess gateway : gateways) {
        gateway.kill();
      }
      try (var files = Files.list(directory)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(directory);
    } catch (IOException | InterruptedException e) {
      note("clean-up failed: " + e);
    }
  }
}
