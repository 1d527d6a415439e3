package review2;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * An engine leaves by plan while a caller reads its stream slowly. The engine's link is busy with
 * moves of other runs, so that its answer to the order to stop the run takes some seconds.
 */
final class StopCase implements Main.Case {

  private static final int EVENTS = 500;
  private static final int EVENT_BYTES = 24_000;
  private static final long LEAVE_MS = 7_000;
  private static final long LINK_BUSY_MS = 3_600;
  private static final long READ_FAST_MS = LEAVE_MS + 2_600;

  /** Reads at most 40 KB a second until a time. */
  private static final class SlowInput extends FilterInputStream {

    private final long untilMs;

    SlowInput(InputStream in, long untilMs) {
      super(in);
      this.untilMs = untilMs;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      if (Engine.nowMs() >= untilMs) {
        return super.read(bytes, offset, length);
      }
      try {
        Thread.sleep(100);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return super.read(bytes, offset, Math.min(length, 4_000));
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }
  }

  @Override
  public int run(Deployment deployment) throws Exception {
    final Engine source = new Engine(deployment, "i-llm-1", EVENT_BYTES);
    deployment.startGateway();
    long startMs = Engine.nowMs();
    try (Socket socket = deployment.connect(8 << 10)) {
      socket.setSoTimeout(15_000);
      Http.write(
          socket.getOutputStream(),
          Deployment.head(
                  "POST",
                  "/draft/1",
                  "draft-1",
                  39_000,
                  Deployment.generation(3_000, 4 * EVENTS) + "Content-Length: 5\r\n")
              + "draft");
      deployment.note("caller sent draft-1, and reads slowly");
      Http.daemon("engines", () -> leave(deployment, source, startMs));
      InputStream in =
          new java.io.BufferedInputStream(
              new SlowInput(socket.getInputStream(), startMs + READ_FAST_MS), 4_000);
      Http.Message head = Http.readHead(in);
      deployment.note("caller: " + head.startLine);
      return head.status() == 200 ? read(deployment, in) : 2;
    }
  }

  private static void leave(Deployment deployment, Engine source, long startMs) {
    try {
      Thread.sleep(1_000);
      new Engine(deployment, "i-llm-2", EVENT_BYTES);
      Thread.sleep(startMs + LEAVE_MS - Engine.nowMs());
      if (deployment.trouble) {
        source.linkBusyUntilMs = Engine.nowMs() + Long.getLong("busyMs", LINK_BUSY_MS);
        source.leave();
      }
      Thread.sleep(startMs + READ_FAST_MS - Engine.nowMs());
      deployment.note("caller reads fast from now on");
    } catch (Exception e) {
      deployment.note("engines: " + e);
    }
  }

  /** Reads the chunked body to its end; returns 1 if it ends as complete before its last event. */
  private static int read(Deployment deployment, InputStream in) throws Exception {
    int lastId = 0;
    boolean complete = false;
    String rest = "";
    try {
      for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
        rest += new String(in.readNBytes(size), StandardCharsets.ISO_8859_1);
        Http.readLine(in);
        for (int end = rest.indexOf("\n\n"); end >= 0; end = rest.indexOf("\n\n")) {
          int id = Integer.parseInt(rest.substring(4, rest.indexOf('\n')));
          if (id != lastId + 1) {
            deployment.note("caller: event " + id + " follows event " + lastId);
            return 1;
          }
          lastId = id;
          rest = rest.substring(end + 2);
        }
      }
      complete = true;
    } catch (IOException e) {
      deployment.note("caller: the answer broke off: " + e);
    }
    deployment.note(
        "caller: the answer ended after event "
            + lastId
            + " of "
            + EVENTS
            + ", as complete="
            + complete);
    return complete && lastId < EVENTS ? 1 : 0;
  }

  private static int chunkSize(InputStream in) throws IOException {
    return Integer.parseInt(Http.readLine(in).trim(), 16);
  }
}
