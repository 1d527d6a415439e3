import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that keeps its connection for several requests and sends each of them once. */
final class Caller implements AutoCloseable {

  /** How a request ended: its status, 0 for none; whether the answer is complete; its events. */
  record Outcome(int status, boolean complete, int events, String detail) {}

  private final Recorder recorder;
  private final String gateway;
  private final Socket socket = new Socket();
  private final InputStream in;

  Caller(GatewayProcess gateway, Recorder recorder) throws IOException {
    this.recorder = recorder;
    this.gateway = gateway.name;
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(60_000);
    socket.connect(GatewayProcess.resolve(gateway.callerAddress), 1_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends the head of a request; its framing header follows the others. */
  void sendHead(String method, String path, String attempt, String headers) throws IOException {
    recorder.log("client sends %s to %s: %s %s %s", attempt, gateway, method, path,
        headers.replace("\r\n", " "));
    write(
        method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST
            + "\r\nAuthorization: Token " + Deployment.KEY
            + "\r\nX-Sequoiareach-Attempt-Id: " + attempt + "\r\n" + headers + "\r\n");
  }

  /** Sends a generation and reads its answer to the end. */
  Outcome generate(String path, String attempt, int prompt, int output, long deadlineMs) {
    try {
      sendHead(
          "POST", path, attempt,
          "X-Sequoiareach-Model: m\r\nX-Sequoiareach-Token-Counts: " + prompt + "," + output
              + "\r\nX-Sequoiareach-Prompt-Prefix: 5c1e07a2:" + prompt
              + "\r\nX-Sequoiareach-Deadline-Ms: " + deadlineMs + "\r\nContent-Length: 6\r\n");
      write("prompt");
    } catch (IOException e) {
      return ended(attempt, new Outcome(0, false, 0, "not sent: " + e));
    }
    return receive(attempt);
  }

  /** Reads the answer to the request that was sent. */
  Outcome receive(String attempt) {
    int status = 0;
    int events = 0;
    try {
      Http.Head head = Http.readHead(in);
      if (head == null) {
        return ended(attempt, new Outcome(0, false, 0, "closed without an answer"));
      }
      status = head.status();
      if (!head.header("transfer-encoding").equals("chunked")) {
        Http.readBody(head, in);
        String retry = head.header("retry-after");
        return ended(attempt, new Outcome(status, true, 0, "retry-after=" + retry));
      }
      for (byte[] c = Http.readChunk(in); c.length > 0; c = Http.readChunk(in)) {
        String text = new String(c, StandardCharsets.ISO_8859_1);
        events += (int) text.lines().filter(line -> line.startsWith("id:")).count();
      }
      return ended(attempt, new Outcome(status, true, events, ""));
    } catch (IOException e) {
      return ended(attempt, new Outcome(status, false, events, e.toString()));
    }
  }

  /** Sets how long the client waits for the next byte before it gives up. */
  void setPatienceMs(int patienceMs) throws IOException {
    socket.setSoTimeout(patienceMs);
  }

  void write(String text) throws IOException {
    write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private Outcome ended(String attempt, Outcome outcome) {
    recorder.log(
        "client got %s: status %d, %s, %d events %s",
        attempt, outcome.status, outcome.complete ? "complete" : "NOT COMPLETE", outcome.events,
        outcome.detail);
    return outcome;
  }
}
