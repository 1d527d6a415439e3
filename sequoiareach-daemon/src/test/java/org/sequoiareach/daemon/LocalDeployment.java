package org.sequoiareach.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.sequoiareach.daemon.caller.TestKeys;
import org.sequoiareach.daemon.settings.DaemonSettings;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OperationEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.ServiceEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.standin.engine.EngineFaults;
import org.sequoiareach.standin.engine.EngineSettings;
import org.sequoiareach.standin.engine.EngineStandin;
import org.sequoiareach.standin.engine.GenerationRecord;
import org.sequoiareach.standin.engine.StepSettings;
import org.sequoiareach.standin.kv.KvSettings;
import org.sequoiareach.standin.kv.KvStandin;
import org.sequoiareach.standin.service.ServiceSettings;
import org.sequoiareach.standin.service.ServiceStandin;
import org.sequoiareach.standin.vms.VmListSettings;
import org.sequoiareach.standin.vms.VmListStandin;
import org.sequoiareach.store.kv.EtcdKeyValueService;
import org.sequoiareach.store.kv.KeyValueCallListener;
import org.sequoiareach.store.sheet.KeyValueSheetStore;
import org.sequoiareach.store.time.MonotonicClock;

/** Runs daemons and stand-ins of the platform in this process, on free loopback ports. */
final class LocalDeployment implements AutoCloseable {

  static final String KEY = "sk-test";
  static final String OTHER_KEY = "sk-other";
  private static final long TIMEOUT_MS = 15_000;
  private static final StepSettings FAST_STEPS = new StepSettings(4, 0, 0, 0.001, 4_096, 64);

  final KvStandin keyValues = new KvStandin(new KvSettings("127.0.0.1:0"));
  final VmListStandin vms = new VmListStandin(new VmListSettings("127.0.0.1:0", 0, List.of()));
  final ServiceStandin service =
      new ServiceStandin(new ServiceSettings("127.0.0.1:0", "dispatch", "dispatch-1", 0));
  final Map<String, EngineStandin> engines = new HashMap<>();
  final List<Daemon> daemons = new ArrayList<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final HttpClient http = HttpClient.newHttpClient();
  private final String keyValueAddress;
  private final String vmListAddress;
  private long sheetVersion;

  LocalDeployment(int engineCount) {
    keyValueAddress = toText(keyValues.start());
    vmListAddress = toText(vms.start());
    putVm("dispatch-1", VmKind.SERVICE, toText(service.start()), "dispatch", false);
    for (int i = 1; i <= engineCount; i++) {
      addEngine(EngineSettings.of("e" + i, "contract-70b").withSteps(FAST_STEPS));
    }
    export(sheet(50));
  }

  void addEngine(EngineSettings settings) {
    EngineStandin engine = new EngineStandin(settings);
    engines.put(settings.id(), engine);
    String address = toText(engine.start());
    addresses.put(settings.id(), address);
    putVm(settings.id(), VmKind.ENGINE, address, "contract-70b", false);
  }

  void putLeaving(String engineId) {
    putVm(engineId, VmKind.ENGINE, addresses.get(engineId), "contract-70b", true);
  }

  static Sheet sheet(int concurrentRequests) {
    return sheet(concurrentRequests, 1_000_000);
  }

  static Sheet sheet(int concurrentRequests, long tokensPerDay) {
    OperationEntry create = new OperationEntry("POST", "/bookings", false);
    OperationEntry read = new OperationEntry("GET", "/bookings/*", true);
    return new Sheet(
        0,
        List.of(new ModelEntry("contract-70b", "1", 32_768, 1, 2)),
        List.of(new ServiceEntry("dispatch", List.of(create, read))),
        List.of(
            organisation("acme", KEY, concurrentRequests, tokensPerDay),
            organisation("other", OTHER_KEY, concurrentRequests, tokensPerDay)));
  }

  private static OrganisationEntry organisation(
      String id, String key, int concurrentRequests, long tokensPerDay) {
    return new OrganisationEntry(
        id,
        List.of(TestKeys.digest(key)),
        5,
        List.of("contract-70b"),
        List.of("dispatch"),
        new PlanEntry(1_000_000, tokensPerDay),
        new LimitsEntry(concurrentRequests, 1_000));
  }

  void export(Sheet sheet) {
    EtcdKeyValueService client =
        new EtcdKeyValueService(
            List.of(keyValueAddress),
            reactor.netty.http.client.HttpClient.create(),
            KeyValueCallListener.NONE);
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    sheetVersion = new KeyValueSheetStore(client).export(sheet, sheetVersion, deadlineMs).join();
  }

  void putVm(String id, VmKind kind, String address, String serves, boolean leaving) {
    List<String> names = serves.isEmpty() ? List.of() : List.of(serves);
    vms.put(new VmEntry(id, kind, address, "zone-a", leaving, names));
  }

  Daemon startDaemon(String id) {
    String freePort = "127.0.0.1:0";
    Daemon daemon =
        Daemon.start(
            new DaemonSettings(
                id,
                "zone-a",
                new DaemonSettings.CallerSettings(freePort, 0, 0, 0),
                new DaemonSettings.ListenerSettings(freePort),
                new DaemonSettings.ListenerSettings(freePort),
                new DaemonSettings.KeyValueSettings(List.of(keyValueAddress)),
                new DaemonSettings.VmListSettings(vmListAddress),
                null,
                20_000,
                Optional.of(1L)));
    daemons.add(daemon);
    putVm(id, VmKind.DAEMON, daemon.peerAddress(), "", false);
    await("daemon " + id + " is ready", () -> status(daemon, "/readyz") == 200);
    return daemon;
  }

  int status(Daemon daemon, String path) {
    return getFromOperators(daemon, path).statusCode();
  }

  JsonNode json(Daemon daemon, String path) {
    return CompletionStreams.parse(getFromOperators(daemon, path).body());
  }

  private HttpResponse<String> getFromOperators(Daemon daemon, String path) {
    URI uri = URI.create("http://" + toText(daemon.operatorAddress()) + path);
    return send(HttpRequest.newBuilder(uri).build()).join();
  }

  /** Requests an answer of the given number of tokens. */
  CompletableFuture<HttpResponse<String>> complete(
      Daemon daemon, String key, int tokens, boolean stream) {
    return send(completion(daemon, key, "m", tokens, stream));
  }

  /** Requests a streamed answer whose tokens carry a marker. */
  CompletableFuture<HttpResponse<String>> stream(Daemon daemon, String marker, int tokens) {
    return send(completion(daemon, KEY, marker, tokens, true));
  }

  /** Creates a request for an answer whose tokens carry a marker. */
  HttpRequest completion(Daemon daemon, String key, String marker, int tokens, boolean stream) {
    String body = completionBody(marker, tokens, stream);
    return request(daemon, key, "/v1/chat/completions")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  static String completionBody(String marker, int tokens, boolean stream) {
    return String.format(
        "{\"model\":\"contract-70b\",\"stream\":%s,\"max_tokens\":%d,\"metadata\":"
            + "{\"marker\":\"%s\",\"answer_tokens\":\"%d\"},"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}",
        stream, Math.max(2_000, tokens), marker, tokens);
  }

  /** Opens a stream that the test reads at its own pace. */
  BufferedReader open(Daemon daemon, String marker, int tokens) throws Exception {
    HttpRequest request = completion(daemon, KEY, marker, tokens, true);
    InputStream body =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream()).body();
    return new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
  }

  /** Returns all generations with a marker that engines created, whatever their state. */
  List<GenerationRecord> generations(String marker) {
    return engines.values().stream()
        .flatMap(engine -> engine.record().generations().values().stream())
        .filter(generation -> generation.marker().equals(marker))
        .toList();
  }

  /** Returns the ID of the engine that created a generation with a marker. */
  Optional<String> findEngine(String marker) {
    return engines.entrySet().stream()
        .filter(
            entry ->
                entry.getValue().record().generations().values().stream()
                    .anyMatch(generation -> generation.marker().equals(marker)))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Waits until a generation with a marker has the given number of tokens. */
  void awaitTokens(String marker, int tokens) {
    await(
        marker + " has " + tokens + " tokens",
        () -> generations(marker).stream().anyMatch(generation -> generation.tokens() >= tokens));
  }

  void setEngineFaults(EngineFaults faults) {
    engines.values().forEach(engine -> engine.setFaults(faults));
  }

  HttpRequest.Builder request(Daemon daemon, String key, String path) {
    URI uri = URI.create("http://" + toText(daemon.callerAddress()) + path);
    return HttpRequest.newBuilder(uri)
        .timeout(Duration.ofMillis(TIMEOUT_MS))
        .header("Authorization", "Bearer " + key);
  }

  CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<String>> book(Daemon daemon, String key, String idempotencyKey) {
    return send(
        request(daemon, key, "/services/dispatch/bookings")
            .header("Idempotency-Key", idempotencyKey)
            .POST(HttpRequest.BodyPublishers.ofString("{\"truck\":1}"))
            .build());
  }

  static void await(String description, BooleanSupplier condition) {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (!condition.getAsBoolean()) {
      if (MonotonicClock.nowMs() > deadlineMs) {
        throw new AssertionError("condition not met within " + TIMEOUT_MS + " ms: " + description);
      }
      sleep(20);
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static String toText(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  @Override
  public void close() {
    daemons.forEach(Daemon::close);
    engines.values().forEach(EngineStandin::close);
    service.close();
    vms.close();
    keyValues.close();
  }
}
