package review2;

import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A sound server of the plain service. */
final class Desk {

  final String id;
  final Http.Server server;
  private final Deployment deployment;
  private final long workMs;
  private final AtomicLong stamps = new AtomicLong();
  private final long born = System.currentTimeMillis();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final AtomicInteger working = new AtomicInteger();

  /** Runs that reach the server later than DrainMs after its report was accepted. */
  final AtomicInteger lateRuns = new AtomicInteger();

  private volatile long drainedAtMs = Long.MAX_VALUE;

  Desk(Deployment deployment, String id, long workMs) throws Exception {
    this.deployment = deployment;
    this.id = id;
    this.workMs = workMs;
    server = new Http.Server(this::handle);
    register("available");
  }

  void register(String state) {
    deployment.register(id, "desk", server.address(), 6, state, born);
  }

  /** Reports that it leaves; the store accepts that at once. */
  void drain(long drainMs) {
    register("draining");
    drainedAtMs = Engine.nowMs() + drainMs;
    deployment.note("server " + id + " reports draining, accepted by the store");
  }

  /** Ends the process: all its connections close. Returns the requests that it was working on. */
  int exit() throws Exception {
    int cut = working.get();
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
    deployment.store.put("servers/" + id, null);
    deployment.note("server " + id + " has left; it was working on " + cut + " requests");
    return cut;
  }

  private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
    if (request.uri().equals("/health")) {
      Http.write(
          out,
          "HTTP/1.1 200 OK\r\nX-Sequoiareach-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    String attempt = request.header("X-Sequoiareach-Attempt-Id");
    String expected = request.header("X-Sequoiareach-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      Http.write(
          out,
          "HTTP/1.1 421 Misdirected Request\r\nX-Sequoiareach-Attempt-Id: "
              + attempt
              + "\r\nX-Sequoiareach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    Bookings.RUNS.add(attempt);
    boolean late = Engine.nowMs() > drainedAtMs;
    lateRuns.addAndGet(late ? 1 : 0);
    deployment.note(
        "run at " + id + " " + attempt + " " + request.startLine + (late ? " LATE" : ""));
    open.add(socket);
    working.incrementAndGet();
    Thread.sleep(workMs);
    working.decrementAndGet();
    String body = "answer to " + attempt + " " + "x".repeat(700);
    Http.write(
        out,
        "HTTP/1.1 200 OK\r\nX-Sequoiareach-Attempt-Id: "
            + attempt
            + "\r\nX-Sequoiareach-Server-Stamp: "
            + id
            + "."
            + stamps.incrementAndGet()
            + "\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=15\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    return true;
  }
}
