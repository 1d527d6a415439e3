package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that book on kept connections, one request after the other, until a time. */
final class Bookings {

  /** The ids of the requests that a server has begun to work on, noted by {@link Desk}. */
  static final Set<String> RUNS = ConcurrentHashMap.newKeySet();

  final AtomicInteger answered = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();

  /** Requests of kept connections that a server ran, and whose connection ended unanswered. */
  final AtomicInteger lost = new AtomicInteger();

  private final Deployment deployment;
  private final long endMs;
  private final List<Thread> callers = new ArrayList<>();

  Bookings(Deployment deployment, int count, long lengthMs) {
    this.deployment = deployment;
    this.endMs = Engine.nowMs() + lengthMs;
    for (int i = 0; i < count; i++) {
      int caller = i;
      callers.add(Http.daemon("caller", () -> book(caller)));
    }
  }

  void join() throws InterruptedException {
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private void book(int caller) {
    int sequence = 0;
    while (Engine.nowMs() < endMs && deployment.gateway().isAlive()) {
      try (Socket socket = deployment.connect()) {
        socket.setSoTimeout(20_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean kept = false;
        while (Engine.nowMs() < endMs) {
          sequence++;
          if (!bookOnce(socket, in, "booking-" + caller + "-" + sequence, kept)) {
            break;
          }
          kept = true;
          Thread.sleep(ThreadLocalRandom.current().nextLong(5, 35));
        }
      } catch (Exception e) {
        deployment.note("caller " + caller + ": " + e);
        sleep();
      }
    }
  }

  private boolean bookOnce(Socket socket, InputStream in, String id, boolean kept) {
    long sentMs = Engine.nowMs();
    deployment.note("sent " + id + (kept ? " on a kept connection" : ""));
    try {
      Http.write(
          socket.getOutputStream(),
          Deployment.head("POST", "/book/" + id, id, 1_500, "Content-Length: 5\r\n") + "truck");
      Http.Message response = Http.readResponse(in);
      deployment.note(
          "answer " + id + " " + response.status() + " after " + (Engine.nowMs() - sentMs) + " ms");
      (response.status() == 200 ? answered : failed).incrementAndGet();
      return true;
    } catch (Exception e) {
      boolean ran = RUNS.contains(id);
      deployment.note("connection ended without an answer to " + id + " ran=" + ran + ": " + e);
      lost.addAndGet(kept && ran ? 1 : 0);
      return false;
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(200);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
