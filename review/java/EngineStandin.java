import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for a sound model server with the figures of the sheet of Astipac Router: it reads 14
 * prompt tokens a millisecond and makes a token of each run every 7 ms, and 0.12 ms more for each
 * run in progress. It generates up to the maximum output of a request, moves runs to other servers,
 * and drops a run when its connection closes.
 */
final class EngineStandin implements AutoCloseable {

  private static final double STEP_MS = 7;
  private static final double STEP_MS_PER_RUN = 0.12;
  private static final double PREFILL_TOKENS_PER_MS = 14;

  /** The time to copy one token: 18,432 bytes over 2,700 Mbit/s. */
  private static final double COPY_MS_PER_TOKEN = 18_432 * 8 / 2_700_000.0;

  private static final Pattern MOVE =
      Pattern.compile("\"Id\":\"([^\"]*)\",\"Target\":\"([^\"]*)\",\"Last\":(true|false)");

  /** The engines of this process by their addresses, so that copies reach their destinations. */
  private static final Map<String, EngineStandin> ENGINES = new ConcurrentHashMap<>();

  /** A generation in progress, or ended, at one engine. */
  static final class Run {

    final String attempt;
    final int promptTokens;
    final int events;
    final double startedMs;
    volatile int made;
    volatile double lastMadeMs;
    volatile boolean stopOrdered;
    volatile boolean ended;
    volatile boolean answerLost;
    private final Socket caller;
    private int copiedTokens;

    private Run(String attempt, int promptTokens, int events, int made, Socket caller, double ms) {
      this.attempt = attempt;
      this.promptTokens = promptTokens;
      this.events = events;
      this.made = made;
      this.caller = caller;
      this.startedMs = ms;
    }

    private int tokens() {
      return promptTokens + made * Deployment.STRIDE;
    }

    private String handle() {
      return "h-" + attempt;
    }
  }

  final String id;
  private final Recorder recorder;
  private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final AtomicInteger running = new AtomicInteger();
  private final Map<String, Run> runs = new ConcurrentHashMap<>();
  private final Map<String, Run> copies = new ConcurrentHashMap<>();
  private final ReentrantLock link = new ReentrantLock(true);
  private volatile boolean draining;
  private volatile String losing = "";

  EngineStandin(String id, Recorder recorder) throws IOException {
    this.id = id;
    this.recorder = recorder;
    ENGINES.put(address(), this);
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

  Map<String, Run> runs() {
    return runs;
  }

  /** Reports from now on that the engine is leaving; it keeps serving. */
  void drain() {
    draining = true;
  }

  /**
   * Loses the answer of a run a while after its memory was first copied: its connection is reset,
   * and the run goes on.
   */
  void loseAnswerAfterCopy(String attempt) {
    losing = attempt;
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
        String body = new String(Http.readBody(head, in), StandardCharsets.UTF_8);
        if (head.uri().equals("/kv-move")) {
          move(body, socket.getOutputStream());
        } else if (head.uri().startsWith("/kv-handle/")) {
          answer(socket.getOutputStream(), 200, "{}");
        } else if (head.uri().equals("/report") || head.uri().equals("/health")) {
          report(socket.getOutputStream());
        } else {
          generate(head, socket);
        }
      }
    }
  }

  private void report(OutputStream out) throws IOException {
    answer(
        out,
        200,
        "{\"Stage\":\"combined\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
            + "\"Busy\":false,\"SequenceNumber\":2,\"QueuedRequests\":0,\"ActiveRequests\":"
            + running.get()
            + ",\"KvCacheUsed\":0,\"KvCacheTotal\":34360,\"SessionHandles\":0,\"State\":\""
            + (draining ? "draining" : "available")
            + "\"}");
  }

  private void move(String body, OutputStream out) throws Exception {
    Matcher order = MOVE.matcher(body);
    Run run = order.find() ? runs.get(order.group(1)) : null;
    if (run == null || run.ended) {
      answer(out, 404, "{}");
      return;
    }
    boolean last = order.group(3).equals("true");
    run.stopOrdered |= last;
    while (last && !run.ended) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    EngineStandin destination = ENGINES.get(order.group(2));
    // Copies queue on the link in the order of their orders.
    link.lock();
    try {
      int tokens = run.tokens();
      sleepMs((tokens - run.copiedTokens) * COPY_MS_PER_TOKEN);
      run.copiedTokens = tokens;
    } finally {
      link.unlock();
    }
    destination.copies.put(address() + "/" + run.handle(), run);
    recorder.log("engine %s copied %s to %s, last=%s", id, run.attempt, destination.id, last);
    answer(
        out, 200, "{\"SessionHandle\":\"" + run.handle() + "\",\"Created\":" + run.made + "}");
    if (run.attempt.equals(losing) && !run.answerLost) {
      loseAnswer(run);
    }
  }

  private void loseAnswer(Run run) {
    run.answerLost = true;
    Threads.start(
        () -> {
          TimeUnit.MILLISECONDS.sleep(100);
          recorder.log("engine %s: the answer of %s is LOST, its run goes on", id, run.attempt);
          run.caller.setSoLinger(true, 0);
          run.caller.close();
        });
  }

  private void generate(Http.Head head, Socket socket) throws Exception {
    String attempt = head.header("X-Sequoiareach-Attempt-Id");
    String from = head.header("Kv-From");
    Run copy = copies.remove(from);
    if (!from.isEmpty() && copy == null) {
      write(
          socket.getOutputStream(),
          "HTTP/1.1 503 Service Unavailable\r\nX-Sequoiareach-Attempt-Id: " + attempt
              + "\r\nX-Sequoiareach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    String[] counts = head.header("X-Sequoiareach-Token-Counts").split(",");
    int prompt = Integer.parseInt(counts[0]);
    int events = Integer.parseInt(counts[1]) / Deployment.STRIDE;
    int after = copy == null ? 0 : Integer.parseInt(head.header("Last-Event-Id"));
    Run run = new Run(attempt, prompt, events, after, socket, recorder.nowMs());
    runs.put(attempt, run);
    running.incrementAndGet();
    try {
      recorder.log(
          copy == null
              ? "engine %s runs %s: %d prompt tokens, %d events"
              : "engine %s GOES ON with %s: %d prompt tokens, %d events, from event %d",
          id, attempt, prompt, events, after + 1);
      stream(run, copy == null ? prompt / PREFILL_TOKENS_PER_MS : 0);
    } finally {
      run.ended = true;
      running.decrementAndGet();
    }
  }

  private void stream(Run run, double prefillMs) throws Exception {
    OutputStream out = run.caller.getOutputStream();
    sleepMs(prefillMs);
    write(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + "X-Sequoiareach-Attempt-Id: "
            + run.attempt
            + "\r\nX-Sequoiareach-Server-Stamp: "
            + id
            + "\r\nKeep-Alive: timeout=5\r\n\r\n");
    long dueNs = System.nanoTime();
    while (run.made < run.events) {
      dueNs += (long) (1e6 * Deployment.STRIDE * (STEP_MS + STEP_MS_PER_RUN * running.get()));
      sleepMs((dueNs - System.nanoTime()) / 1e6);
      if (run.stopOrdered) {
        recorder.log("engine %s stopped %s after event %d", id, run.attempt, run.made);
        run.caller.close();
        return;
      }
      run.made++;
      run.lastMadeMs = recorder.nowMs();
      String event = "id: " + run.made + "\ndata: token\n\n";
      try {
        write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      } catch (IOException e) {
        if (!run.answerLost) {
          recorder.log(
              "engine %s dropped %s after event %d, its connection closed",
              id, run.attempt, run.made);
          throw e;
        }
      }
    }
    recorder.log("engine %s made the last event of %s", id, run.attempt);
    if (!run.answerLost) {
      write(out, "0\r\n\r\n");
    }
  }

  private static void answer(OutputStream out, int status, String body) throws IOException {
    write(
        out,
        "HTTP/1.1 " + status + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body);
  }

  private static void sleepMs(double ms) throws InterruptedException {
    if (ms > 0) {
      TimeUnit.NANOSECONDS.sleep((long) (1e6 * ms));
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
