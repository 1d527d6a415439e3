package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound inference engine: streams events that end with their connection, and copies the memory of
 * a run to another engine when asked to, as PROTOCOL.md has it. Its moves wait for each other.
 */
class Engine {

  /** An event of four tokens, at seven milliseconds a step. */
  static final long EVENT_MS = 28;

  final String id;
  final Http.Server server;
  volatile long born = System.currentTimeMillis();
  final Deployment deployment;
  final int eventBytes;
  final Map<String, Run> runs = new ConcurrentHashMap<>();
  final Map<String, Run> copies = new ConcurrentHashMap<>();
  volatile boolean leaving;

  /** How long the next moves take, because of other moves on the link. */
  volatile long linkBusyUntilMs;

  private static final Map<String, Engine> BY_ADDRESS = new ConcurrentHashMap<>();

  static final class Run {
    final String attempt;
    final int events;
    volatile int made;
    volatile boolean stopped;
    volatile boolean moving;

    Run(String attempt, int events, int made) {
      this.attempt = attempt;
      this.events = events;
      this.made = made;
    }
  }

  Engine(Deployment deployment, String id, int eventBytes) throws Exception {
    this.deployment = deployment;
    this.id = id;
    this.eventBytes = eventBytes;
    server = new Http.Server(this::handle);
    BY_ADDRESS.put(server.address(), this);
    register("available");
  }

  void register(String state) {
    deployment.register(id, "llm", server.address(), 24, state, born);
  }

  void leave() {
    leaving = true;
    register("draining");
    deployment.note("server " + id + " reports draining, accepted by the store");
  }

  /** Comes back after a crash, under the same id and address. */
  void restartLater() {
    Http.daemon(
        "restart",
        () -> {
          try {
            Thread.sleep(2_500);
            server.listen();
            runs.clear();
            born = System.currentTimeMillis();
            register("available");
            deployment.note(id + " is back");
          } catch (Exception e) {
            deployment.note(id + " did not come back: " + e);
          }
        });
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
    String uri = request.uri();
    if (uri.equals("/health")) {
      answer(out, leaving ? 503 : 200, "", "X-Sequoiareach-Instance-Id: " + id + "\r\n");
    } else if (uri.equals("/report")) {
      answer(out, 200, report(), "");
    } else if (uri.equals("/kv-move")) {
      move(request, out);
    } else if (uri.startsWith("/kv-handle/")) {
      answer(out, 200, "{}", "");
    } else {
      return generate(request, out, socket);
    }
    return true;
  }

  String report() {
    return "{\"Stage\":\"combined\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
        + "\"Busy\":false,\"SequenceNumber\":1,\"QueuedRequests\":0,\"ActiveRequests\":"
        + runs.size()
        + ",\"KvCacheUsed\":3000,\"KvCacheTotal\":34360,\"SessionHandles\":0,\"State\":\""
        + (leaving ? "draining" : "available")
        + "\",\"born\":"
        + born
        + "}";
  }

  void answer(OutputStream out, int status, String body, String headers) throws IOException {
    Http.write(
        out,
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + headers
            + "Content-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  private void move(Http.Message request, OutputStream out) throws Exception {
    String body = request.text();
    Run run = runs.get(field(body, "Id"));
    String target = field(body, "Target");
    boolean last = body.replace(" ", "").contains("\"Last\":true");
    String what = "move of " + field(body, "Id") + " from " + id + " last=" + last;
    if (run == null) {
      deployment.note(what + " -> 404");
      answer(out, 404, "{}", "");
      return;
    }
    synchronized (run) {
      if (run.moving) {
        deployment.note(what + " -> 409, a call is already in progress");
        answer(out, 409, "{}", "");
        return;
      }
      run.moving = true;
      if (last && !run.stopped) {
        run.stopped = true;
        deployment.note(what + ": run stopped after event " + run.made);
      }
    }
    long untilMs = last ? Math.max(linkBusyUntilMs, nowMs() + 5) : nowMs() + 5;
    Thread.sleep(untilMs - nowMs());
    Engine destination = BY_ADDRESS.get(target);
    String handle = "h-" + run.attempt + "-" + run.made;
    destination.copies.put(handle, new Run(run.attempt, run.events, run.made));
    run.moving = false;
    deployment.note(what + " -> 200 " + handle + " created=" + run.made);
    answer(out, 200, "{\"SessionHandle\":\"" + handle + "\",\"Created\":" + run.made + "}", "");
  }

  static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  private boolean generate(Http.Message request, OutputStream out, Socket socket)
      throws Exception {
    String attempt = request.header("X-Sequoiareach-Attempt-Id");
    String expected = request.header("X-Sequoiareach-Expected-Instance");
    String from = request.header("Kv-From");
    Run copy = from == null ? null : copies.remove(from.substring(from.indexOf('/') + 1));
    boolean refused = expected != null && !expected.equals(id) || from != null && copy == null;
    if (refused) {
      answer(
          out,
          from == null ? 421 : 503,
          "",
          "X-Sequoiareach-Not-Executed: 1\r\nX-Sequoiareach-Attempt-Id: " + attempt + "\r\n");
      return true;
    }
    int events = Integer.parseInt(request.header("X-Sequoiareach-Token-Counts").split(",")[1]) / 4;
    Run run = copy == null ? new Run(attempt, events, 0) : copy;
    if (from != null) {
      run.made = Integer.parseInt(request.header("Last-Event-Id"));
    }
    runs.put(attempt, run);
    deployment.note("run at " + id + " " + attempt + " from event " + (run.made + 1));
    Http.write(
        out,
        "HTTP/1.1 200 OK\r\nX-Sequoiareach-Attempt-Id: "
            + attempt
            + "\r\nX-Sequoiareach-Server-Stamp: "
            + id
            + ".1\r\nX-Sequoiareach-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            + "Connection: close\r\n\r\n");
    String filling = "x".repeat(eventBytes);
    while (run.made < run.events) {
      Thread.sleep(EVENT_MS);
      synchronized (run) {
        if (run.stopped) {
          break;
        }
        run.made++;
      }
      writeEvent(run, out, "id: " + run.made + "\ndata: " + filling + "\n\n");
    }
    deployment.note(
        "stream of "
            + attempt
            + " closed by "
            + id
            + " after event "
            + run.made
            + "/"
            + run.events);
    if (!run.stopped) {
      runs.remove(attempt);
    }
    socket.shutdownOutput();
    Thread.sleep(200);
    return false;
  }

  void writeEvent(Run run, OutputStream out, String event) throws Exception {
    Http.write(out, event);
  }
}
