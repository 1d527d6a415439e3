import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway in a process of its own, started with the command of the deploy file. */
final class GatewayProcess implements AutoCloseable {

  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final long READY_TIMEOUT_MS = 20_000;

  final String name;
  final String callerAddress = freeAddress();
  final String readyAddress = freeAddress();
  final String peerAddress = freeAddress();
  final String metricsAddress = freeAddress();
  private final Path folder;
  private Process process;

  GatewayProcess(String name, Path folder) throws IOException {
    this.name = name;
    this.folder = folder;
  }

  /** Starts the process with the given seeds; its log goes to the temporary folder. */
  void start(String storeAddress, List<String> seeds) throws IOException {
    Path settings = folder.resolve(name + ".json");
    String seedList = seeds.stream().map(s -> "\"" + s + "\"").reduce((a, b) -> a + "," + b).orElse("");
    Files.writeString(
        settings,
        ("{\"name\":\"%s\",\"zone\":\"z1\",\"callerAddress\":\"%s\",\"readyAddress\":\"%s\","
                + "\"peerAddress\":\"%s\",\"metricsAddress\":\"%s\",\"seedAddresses\":[%s],"
                + "\"storeAddress\":\"%s\",\"gracePeriodSeconds\":8,\"retryRatio\":0.2,"
                + "\"retryWindowSeconds\":10,\"retryExtra\":52,\"sheetBoundMs\":2000,"
                + "\"leavingBoundMs\":2000}")
            .formatted(
                name, callerAddress, readyAddress, peerAddress, metricsAddress, seedList,
                storeAddress));
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("SEQUOIAREACH_BOOT", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
    process = builder.start();
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Waits until the process has ended; returns whether it has. */
  boolean awaitEnd(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
  }

  int exitValue() {
    return process.exitValue();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Waits until the gateway says that it is ready and lists the given number of servers. */
  void awaitReady(int servers) throws Exception {
    long endNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
    while (!get(readyAddress).startsWith("HTTP/1.1 200")
        || !get(metricsAddress).contains("sequoiareach_targets " + servers + "\n")) {
      if (System.nanoTime() > endNs) {
        throw new IllegalStateException(name + " is not ready in time");
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  @Override
  public void close() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }

  String log() throws IOException {
    return Files.readString(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
  }

  static InetSocketAddress resolve(String address) {
    int colon = address.indexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static String get(String address) {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(1_000);
      socket.connect(resolve(address), 1_000);
      socket
          .getOutputStream()
          .write(
              "GET /readiness HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      return "";
    }
  }

  private static List<String> command() throws IOException {
    Matcher run = RUN_LINE.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("deploy/system.toml has no run line");
    }
    return new ArrayList<>(List.of(run.group(1).split(" ")));
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }
}
