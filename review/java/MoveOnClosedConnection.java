import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A gateway gets SIGTERM, and one of six engines is replaced meanwhile. The gateway stops the runs of
 * that engine to move them, sends some of them on over connections that it has closed itself, and
 * cuts their streams.
 */
final class MoveOnClosedConnection extends Case {

  private static final int ENGINES = 6;
  private static final int CALLERS = 72;
  private static final int PROMPT_TOKENS = 300;
  private static final int OUTPUT_TOKENS = 400;
  private static final long PAUSE_MS = 300;
  private static final long WARM_UP_MS = 9_000;
  private static final long DRAIN_AFTER_STOP_MS = 600;
  private static final long SETTLE_MS = 9_500;

  /** The start of the last sixth of the grace period, in which a cut may be excused. */
  private static final double LAST_SIXTH_MS = 8_000 * 5 / 6.0;

  private record Cut(double atMs, String detail) {}

  private final Map<String, Cut> cuts = new ConcurrentHashMap<>();
  private volatile boolean ended;

  private MoveOnClosedConnection(Path folder) throws Exception {
    super(folder);
  }

  public static void main(String[] args) throws Exception {
    new MoveOnClosedConnection(Path.of(args[0])).runAndExit();
  }

  @Override
  boolean holds() throws Exception {
    StoreStandin store = open(new StoreStandin());
    store.put("op/config", Deployment.configuration(1));
    List<EngineStandin> engines = new ArrayList<>();
    for (int i = 1; i <= ENGINES; i++) {
      EngineStandin engine = open(new EngineStandin("e-" + i, recorder));
      engines.add(engine);
      store.put(
          "servers/e-" + i, Deployment.server("engines", engine.address(), 24, "available", 4));
    }
    GatewayProcess gateway = startGateways(1, store, ENGINES).get(0);
    for (int i = 1; i <= CALLERS; i++) {
      String name = "s" + i;
      Threads.start(() -> call(gateway, name));
      TimeUnit.MILLISECONDS.sleep(40);
    }
    TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
    double stopMs = recorder.nowMs();
    if (trouble) {
      recorder.log("SIGTERM to %s", gateway.name);
      gateway.terminate();
      TimeUnit.MILLISECONDS.sleep(DRAIN_AFTER_STOP_MS);
      EngineStandin leaving = engines.get(0);
      recorder.log("engine %s reports that it is draining", leaving.id);
      leaving.drain();
      store.put(
          "servers/e-1", Deployment.server("engines", leaving.address(), 24, "draining", 5));
    }
    ended = true;
    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    int counted = 0;
    for (Map.Entry<String, Cut> cut : cuts.entrySet()) {
      double afterMs = cut.getValue().atMs - stopMs;
      boolean stoppedToMove =
          engines.get(0).runs().containsKey(cut.getKey())
              && engines.get(0).runs().get(cut.getKey()).stopOrdered;
      boolean counts = afterMs > 0 && afterMs < LAST_SIXTH_MS && stoppedToMove;
      counted += counts ? 1 : 0;
      recorder.log(
          "%s was cut %.0f ms after the stop, stopped to be moved: %s", cut.getKey(), afterMs,
          stoppedToMove);
    }
    recorder.log("%d streams were cut around the planned stop", counted);
    return counted == 0;
  }

  private void call(GatewayProcess gateway, String name) throws Exception {
    for (int i = 1; !ended; i++) {
      String attempt = name + "-" + i;
      try (Caller caller = new Caller(gateway, recorder)) {
        Caller.Outcome outcome =
            caller.generate("/draft/1", attempt, PROMPT_TOKENS, OUTPUT_TOKENS, 39_000);
        if (!outcome.complete() && outcome.events() > 0) {
          cuts.put(attempt, new Cut(recorder.nowMs(), outcome.detail()));
        }
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    }
  }
}
