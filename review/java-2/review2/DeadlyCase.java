package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One part of a prompt crashes each engine that begins to write an answer on it. */
final class DeadlyCase implements Main.Case {

  private static final int ENGINES = 8;
  private static final int PARTS = 80;

  /** With TROUBLE=0 the same crashes come from a part near the start of the prompt. */
  private static final int DEADLY_INDEX = "0".equals(System.getenv("TROUBLE")) ? 1 : 70;

  private static final long LENGTH_MS = 40_000;
  private static final long CONTACT_WINDOW_MS = 3_000;
  private static final String DEADLY = "dead0001";

  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicInteger lateArrivals = new AtomicInteger();
  private volatile long fifthCrashMs = Long.MAX_VALUE / 2;

  private final class MortalEngine extends Engine {

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    MortalEngine(Deployment deployment, String id) throws Exception {
      super(deployment, id, 280);
    }

    @Override
    boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
      open.add(socket);
      String prefix = request.header("X-Sequoiareach-Prompt-Prefix");
      if (prefix == null || !prefix.contains(DEADLY + ":")) {
        return super.handle(request, out, socket);
      }
      boolean late = Engine.nowMs() > fifthCrashMs + CONTACT_WINDOW_MS;
      lateArrivals.addAndGet(late ? 1 : 0);
      deployment.note(
          id + " runs " + request.header("X-Sequoiareach-Attempt-Id") + (late ? " LATE" : ""));
      Thread.sleep(60);
      crash();
      return false;
    }

    private void crash() throws Exception {
      int number = crashes.incrementAndGet();
      if (number == 5) {
        fifthCrashMs = Engine.nowMs();
      }
      deployment.note(id + " crashes, number " + number);
      server.listener.close();
      for (Socket one : open) {
        try {
          one.setSoLinger(true, 0);
          one.close();
        } catch (java.io.IOException e) {
          // It was closed before.
        }
      }
      open.clear();
      restartLater();
    }
  }

  @Override
  public int run(Deployment deployment) throws Exception {
    for (int i = 0; i < ENGINES; i++) {
      new MortalEngine(deployment, "i-llm-" + i);
    }
    deployment.startGateway();
    Drafts drafts = new Drafts(deployment, 12, LENGTH_MS, headers(false, 0));
    Thread.sleep(3_000);
    long endMs = Engine.nowMs() + LENGTH_MS - 5_000;
    for (int i = 0; Engine.nowMs() < endMs; i++) {
      int number = i;
      Http.daemon("deadly", () -> sendDeadly(deployment, number));
      Thread.sleep(1_000);
    }
    drafts.join();
    deployment.noteEnd();
    deployment.note(
        "crashes="
            + crashes
            + "; requests with the part that reached servers later than ContactWindowMs after the"
            + " fifth crash="
            + lateArrivals
            + "; sound drafts answered="
            + drafts.answered
            + ", broken off="
            + drafts.failed);
    return drafts.answered.get() < 20 ? 2 : lateArrivals.get() > 3 ? 1 : 0;
  }

  /** Describes a generation whose prompt has the common parts, and maybe the deadly one. */
  private static String headers(boolean deadly, int number) {
    List<String> parts = new ArrayList<>();
    for (int i = 0; i < PARTS; i++) {
      parts.add(
          deadly && i == DEADLY_INDEX ? DEADLY + ":20" : Integer.toHexString(0x10000 + i) + ":20");
    }
    parts.set(PARTS - 1, Integer.toHexString(0x900000 + number) + ":20");
    return "X-Sequoiareach-Model: m\r\nX-Sequoiareach-Token-Counts: "
        + 20 * PARTS
        + ",160\r\nX-Sequoiareach-Prompt-Prefix: "
        + String.join(",", parts)
        + "\r\n";
  }

  private static void sendDeadly(Deployment deployment, int number) {
    try (Socket socket = deployment.connect()) {
      socket.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String body = "deadly " + number;
      Http.write(
          socket.getOutputStream(),
          Deployment.head(
                  "POST",
                  "/draft/1",
                  "deadly-" + number,
                  39_000,
                  headers(true, number)
                      + "Content-Length: "
                      + body.length()
                      + "\r\n")
              + body);
      deployment.note("answer deadly-" + number + " " + Http.readResponse(in).status());
    } catch (Exception e) {
      deployment.note("no complete answer to deadly-" + number + ": " + e);
    }
  }
}
