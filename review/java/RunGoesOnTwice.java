import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An engine is replaced while it runs 20 streams. It loses the answer of one of them while the
 * memory of the streams is copied to the new engine, and goes on with its run.
 */
final class RunGoesOnTwice extends Case {

  private static final int STREAMS = 20;
  private static final String LOST = "s-1";

  /** The time for which a run may still be worked on after another engine goes on with it. */
  private static final double OVERLAP_MS = 400;

  private RunGoesOnTwice(Path folder) throws Exception {
    super(folder);
  }

  public static void main(String[] args) throws Exception {
    new RunGoesOnTwice(Path.of(args[0])).runAndExit();
  }

  @Override
  boolean holds() throws Exception {
    StoreStandin store = open(new StoreStandin());
    EngineStandin old = open(new EngineStandin("i-old", recorder));
    EngineStandin next = open(new EngineStandin("i-new", recorder));
    store.put("op/config", Deployment.configuration(1));
    store.put("servers/i-old", Deployment.server("engines", old.address(), 24, "available", 4));
    GatewayProcess gateway = startGateways(1, store, 1).get(0);
    List<Thread> callers = new ArrayList<>();
    for (int i = 1; i <= STREAMS; i++) {
      String attempt = "s-" + i;
      callers.add(
          Threads.start(
              () -> new Caller(gateway, recorder).generate("/draft/1", attempt, 400, 600, 39_000)));
    }
    TimeUnit.MILLISECONDS.sleep(1_200);
    store.put("servers/i-new", Deployment.server("engines", next.address(), 24, "available", 4));
    TimeUnit.MILLISECONDS.sleep(300);
    if (trouble) {
      old.loseAnswerAfterCopy(LOST);
    }
    recorder.log("engine i-old reports that it is draining");
    old.drain();
    store.put("servers/i-old", Deployment.server("engines", old.address(), 24, "draining", 5));
    for (Thread caller : callers) {
      caller.join(30_000);
    }
    boolean held = true;
    int moved = 0;
    for (EngineStandin.Run run : old.runs().values()) {
      EngineStandin.Run later = next.runs().get(run.attempt);
      if (later == null) {
        continue;
      }
      moved++;
      double overlapMs = run.lastMadeMs - later.startedMs;
      recorder.log(
          "i-old worked on %s until %.0f ms after i-new went on with it", run.attempt, overlapMs);
      held &= overlapMs <= OVERLAP_MS;
    }
    if (moved == 0) {
      throw new IllegalStateException("expected that runs were moved");
    }
    return held;
  }
}
