package review2;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One engine of ten is in trouble: it answers GET /report with wrong bytes that break off. */
final class ReportCase implements Main.Case {

  private static final int ENGINES = 10;
  private static final long LENGTH_MS = 15_000;
  private static final int BYTES = 4_000_000;

  private static final class FaultyEngine extends Engine {

    volatile boolean faulty;

    FaultyEngine(Deployment deployment, String id) throws Exception {
      super(deployment, id, 280);
    }

    @Override
    boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
      if (!faulty || !request.uri().equals("/report")) {
        return super.handle(request, out, socket);
      }
      String wrong = "[" + "{},".repeat(BYTES / 3);
      deployment.note(id + " answers /report with " + wrong.length() + " wrong bytes");
      Http.write(
          out,
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
              + "Content-Length: "
              + wrong.length()
              + "\r\n\r\n");
      out.write(wrong.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      socket.shutdownOutput();
      return false;
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
    Bookings bookings = new Bookings(deployment, 16, LENGTH_MS);
    Drafts drafts = new Drafts(deployment, 8, LENGTH_MS);
    Thread.sleep(5_000);
    faulty.faulty = deployment.trouble;
    bookings.join();
    drafts.join();
    deployment.noteEnd();
    deployment.note(
        "drafts answered="
            + drafts.answered
            + " bookings answered="
            + bookings.answered
            + " failed="
            + bookings.failed
            + " run, but closed without an answer on a kept connection="
            + bookings.lost);
    if (bookings.answered.get() < 20) {
      return 2;
    }
    return bookings.lost.get() > 3 ? 1 : 0;
  }
}
