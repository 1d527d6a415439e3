package review2;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that book at a steady rate, each on a connection of its own, and leave at the deadline. */
final class OpenBookings {

  private static final int DEADLINE_MS = 1_500;

  final AtomicInteger answered = new AtomicInteger();

  /** Requests without an answer at the time limit of their route. */
  final AtomicInteger overdue = new AtomicInteger();

  /** Those of them that had no answer half a second later either. */
  final AtomicInteger longOverdue = new AtomicInteger();

  private final Deployment deployment;
  private final Thread sender;

  OpenBookings(Deployment deployment, long intervalMs, long lengthMs) {
    this.deployment = deployment;
    long endMs = Engine.nowMs() + lengthMs;
    sender = Http.daemon("sender", () -> send(intervalMs, endMs));
  }

  void join() throws InterruptedException {
    sender.join();
    Thread.sleep(DEADLINE_MS + 500);
  }

  private void send(long intervalMs, long endMs) {
    try {
      for (int i = 0; Engine.nowMs() < endMs; i++) {
        String id = "booking-" + i;
        Http.daemon("booking", () -> book(id));
        Thread.sleep(intervalMs);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void book(String id) {
    long sentMs = Engine.nowMs();
    String outcome;
    try (Socket socket = deployment.connect()) {
      socket.setSoTimeout(DEADLINE_MS);
      String head =
          Deployment.head("POST", "/book/" + id, id, DEADLINE_MS, "Content-Length: 5\r\n");
      Http.write(socket.getOutputStream(), head + "truck");
      int status = Http.readResponse(new BufferedInputStream(socket.getInputStream())).status();
      answered.addAndGet(status == 200 ? 1 : 0);
      outcome = "answer " + status;
    } catch (Exception e) {
      outcome = "no answer, " + e;
    }
    long tookMs = Engine.nowMs() - sentMs;
    overdue.addAndGet(tookMs > Deployment.BOOK_TIMEOUT_MS ? 1 : 0);
    longOverdue.addAndGet(tookMs > Deployment.BOOK_TIMEOUT_MS + 500 ? 1 : 0);
    deployment.note(id + ": " + outcome + " after " + tookMs + " ms");
  }
}
