import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A gateway gets SIGTERM. A client uses its open connection again 3.2 s later for a stream, which
 * the gateway admits and cuts before its end. The engine is busy with streams of another gateway.
 */
final class StreamCutByStop extends Case {

  private static final long GRACE_MS = 8_000;
  private static final long SENT_AFTER_MS = 3_200;
  private static final int OTHER_STREAMS = 23;

  private StreamCutByStop(Path folder) throws Exception {
    super(folder);
  }

  public static void main(String[] args) throws Exception {
    new StreamCutByStop(Path.of(args[0])).runAndExit();
  }

  @Override
  boolean holds() throws Exception {
    StoreStandin store = open(new StoreStandin());
    EngineStandin engine = open(new EngineStandin("i-1", recorder));
    store.put("op/config", Deployment.configuration(1));
    store.put("servers/i-1", Deployment.server("engines", engine.address(), 24, "available", 4));
    var gateways = startGateways(2, store, 1);
    GatewayProcess stopped = gateways.get(0);
    GatewayProcess other = gateways.get(1);

    Caller caller = open(new Caller(stopped, recorder));
    Caller.Outcome before = caller.generate("/clause/1", "before", 210, 40, 6_000);
    require(before.complete() && before.status() == 200, "the stream before the stop is served");
    for (int i = 1; i <= OTHER_STREAMS; i++) {
      String attempt = "other-" + i;
      Threads.start(
          () -> new Caller(other, recorder).generate("/draft/1", attempt, 200, 1_200, 39_000));
    }
    TimeUnit.MILLISECONDS.sleep(1_000);

    double stopMs = recorder.nowMs();
    if (trouble) {
      recorder.log("SIGTERM to %s", stopped.name);
      stopped.terminate();
    }
    TimeUnit.MILLISECONDS.sleep(SENT_AFTER_MS);
    double sentMs = recorder.nowMs() - stopMs;
    require(sentMs > 3_000 && sentMs < 3_450, "the stream is sent 3.0 to 3.45 s after the stop");
    Caller.Outcome outcome = caller.generate("/draft/1", "late", 1_400, 560, 39_000);
    double endMs = recorder.nowMs() - stopMs;
    recorder.log("sent %.0f ms and ended %.0f ms after the stop", sentMs, endMs);
    if (!trouble) {
      require(outcome.complete() && outcome.events() == 140, "the stream is complete");
    }
    boolean passedOn = outcome.events() > 0;
    return outcome.complete() || !passedOn || endMs > GRACE_MS + 1_000;
  }

  private static void require(boolean condition, String what) {
    if (!condition) {
      throw new IllegalStateException("expected that " + what);
    }
  }
}
