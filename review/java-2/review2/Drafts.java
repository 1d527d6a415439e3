package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that each ask for one short stream after the other until a time. */
final class Drafts {

  private static final int EVENTS = 40;

  final AtomicInteger answered = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();
  private final Deployment deployment;
  private final List<Thread> callers = new ArrayList<>();

  private final String headers;

  Drafts(Deployment deployment, int count, long lengthMs) {
    this(deployment, count, lengthMs, Deployment.generation(3_000, 4 * EVENTS));
  }

  /** Creates callers whose requests have the given headers for the generation. */
  Drafts(Deployment deployment, int count, long lengthMs, String headers) {
    this.deployment = deployment;
    this.headers = headers;
    long endMs = Engine.nowMs() + lengthMs;
    for (int i = 0; i < count; i++) {
      int caller = i;
      callers.add(Http.daemon("caller", () -> draft(caller, endMs)));
    }
  }

  void join() throws InterruptedException {
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private void draft(int caller, long endMs) {
    for (int i = 0; Engine.nowMs() < endMs && deployment.gateway().isAlive(); i++) {
      String id = "draft-" + caller + "-" + i;
      try (Socket socket = deployment.connect()) {
        socket.setSoTimeout(20_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Http.write(
            socket.getOutputStream(),
            Deployment.head(
                    "POST",
                    "/draft/1",
                    id,
                    39_000,
                    headers + "Content-Length: 5\r\n")
                + "draft");
        Http.Message response = Http.readResponse(in);
        deployment.note("answer " + id + " " + response.status());
        answered.addAndGet(response.status() == 200 ? 1 : 0);
      } catch (Exception e) {
        deployment.note("no complete answer to " + id + ": " + e);
        failed.incrementAndGet();
      }
    }
  }
}
