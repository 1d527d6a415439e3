import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Stand-in for a sound application server that answers each request after a fixed time. */
final class DeskStandin implements AutoCloseable {

  final String id;
  private final Recorder recorder;
  private final long workMs;
  private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Map<String, Integer> bodies = new ConcurrentHashMap<>();

  DeskStandin(String id, Recorder recorder, long workMs) throws IOException {
    this.id = id;
    this.recorder = recorder;
    this.workMs = workMs;
    Threads.start(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            Threads.start(() -> serve(socket));
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns how often each request has run, by its attempt id. */
  Map<String, Integer> runs() {
    return runs;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        byte[] body = Http.readBody(head, in);
        String attempt = head.header("X-Sequoiareach-Attempt-Id");
        String answer = "done " + attempt;
        if (!attempt.isEmpty()) {
          runs.merge(attempt, 1, Integer::sum);
          recorder.log("server %s runs %s, %d bytes", id, attempt, body.length);
          TimeUnit.MILLISECONDS.sleep(workMs);
        }
        String head2 =
            "HTTP/1.1 200 OK\r\nX-Sequoiareach-Attempt-Id: "
                + attempt
                + "\r\nX-Sequoiareach-Server-Stamp: "
                + id
                + "\r\nX-Sequoiareach-Instance-Id: "
                + id
                + "\r\nKeep-Alive: timeout=5\r\nContent-Length: "
                + answer.length()
                + "\r\n\r\n";
        socket.getOutputStream().write((head2 + answer).getBytes(StandardCharsets.ISO_8859_1));
      }
    }
  }
}
