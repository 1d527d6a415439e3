package review2;

import java.io.OutputStream;
import java.util.Arrays;

/** One engine of ten is in trouble: it sends bytes that are no answer, without end. */
final class FloodCase implements Main.Case {

  private static final int ENGINES = 10;

  /** About ten streams for each engine, which has 24 slots. */
  private static final int STREAMS = 100;

  private static final long LENGTH_MS = 15_000;
  private static final long CONTACT_WINDOW_MS = 3_000;

  /** All its streams turn into blank lines at the same time. */
  private static final class FaultyEngine extends Engine {

    volatile boolean faulty;

    FaultyEngine(Deployment deployment, String id) throws Exception {
      super(deployment, id, 280);
    }

    @Override
    void writeEvent(Run run, OutputStream out, String event) throws Exception {
      if (!faulty) {
        super.writeEvent(run, out, event);
        return;
      }
      deployment.note(id + " sends bytes without end in the answer to " + run.attempt);
      byte[] blank = new byte[64 << 10];
      Arrays.fill(blank, (byte) '\n');
      while (true) {
        out.write(blank);
      }
    }
  }

  @Override
  public int run(Deployment deployment) throws Exception {
    for (int i = 1; i <= 3; i++) {
      new Desk(deployment, "i-desk-" + i, 80);
    }
    FaultyEngine faulty = new FaultyEngine(deployment, "i-llm-0");
    for (int i = 1; i < ENGINES; i++) {
      new Engine(deployment, "i-llm-" + i, 280);
    }
    deployment.startGateway();
    Drafts drafts = new Drafts(deployment, STREAMS, LENGTH_MS);
    OpenBookings bookings = new OpenBookings(deployment, 50, LENGTH_MS);
    Thread.sleep(4_000);
    faulty.faulty = deployment.trouble;
    long readyMs = Engine.nowMs();
    long longestMs = 0;
    for (long endMs = readyMs + LENGTH_MS - 4_000; Engine.nowMs() < endMs; ) {
      Thread.sleep(500);
      int status = deployment.readiness();
      deployment.note("GET /readiness: " + (status == 0 ? "no answer in 1 s" : status));
      longestMs = Math.max(longestMs, Engine.nowMs() - readyMs);
      readyMs = status == 200 ? Engine.nowMs() : readyMs;
    }
    bookings.join();
    drafts.join();
    deployment.noteEnd();
    deployment.note(
        "longest time without an answer to the readiness check="
            + longestMs
            + " ms; drafts answered="
            + drafts.answered
            + "; bookings answered="
            + bookings.answered
            + "; unanswered at TimeoutMs="
            + bookings.overdue
            + ", and half a second later="
            + bookings.longOverdue);
    if (bookings.answered.get() < 20 || drafts.answered.get() < STREAMS) {
      return 2;
    }
    boolean config = 2 * bookings.longOverdue.get() > bookings.overdue.get();
    boolean hangs = longestMs > CONTACT_WINDOW_MS;
    return config && hangs ? 1 : 0;
  }
}
