import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Clients send drafts with bodies of MaxBodyBytes to one gateway at the same time, while others
 * book loads. The gateway has no direct memory left and stands still, so that bookings stay
 * unanswered after their route's time limit.
 */
final class LargeBodiesAtOnce extends Case {

  private static final int CLERKS = 12;
  private static final long CLERK_PAUSE_MS = 200;
  private static final int DRAFTS = 24;
  private static final int BODY_BYTES = 4_194_304;
  private static final long WATCH_MS = 25_000;

  /** The time limit of the booking route, and the time after it by which an answer is due. */
  private static final double TIMEOUT_MS = 800;

  private static final double SLACK_MS = 500;

  /** How long the client of a booking waits. */
  private static final int BOOKING_DEADLINE_MS = 1_500;

  /** The gap after which the client of a draft leaves: four times its objective of 1.8 s. */
  private static final int DRAFT_GAP_MS = 7_200;

  private final Map<String, Double> sentMs = new ConcurrentHashMap<>();
  private final Map<String, Double> answeredMs = new ConcurrentHashMap<>();
  private volatile boolean ended;

  private LargeBodiesAtOnce(Path folder) throws Exception {
    super(folder);
  }

  public static void main(String[] args) throws Exception {
    new LargeBodiesAtOnce(Path.of(args[0])).runAndExit();
  }

  @Override
  boolean holds() throws Exception {
    StoreStandin store = open(new StoreStandin());
    store.put("op/config", Deployment.configuration(1));
    for (int i = 1; i <= 3; i++) {
      DeskStandin desk = open(new DeskStandin("d-" + i, recorder, 21));
      EngineStandin engine = open(new EngineStandin("e-" + i, recorder));
      store.put("servers/d-" + i, Deployment.server("desk", desk.address(), 6, "available", 4));
      store.put(
          "servers/e-" + i, Deployment.server("engines", engine.address(), 24, "available", 4));
    }
    GatewayProcess gateway = startGateways(1, store, 6).get(0);
    for (int i = 1; i <= CLERKS; i++) {
      String clerk = "c" + i;
      Threads.start(() -> book(gateway, clerk));
    }
    TimeUnit.MILLISECONDS.sleep(2_000);
    if (trouble) {
      for (int i = 1; i <= DRAFTS; i++) {
        String attempt = "draft-" + i;
        Threads.start(() -> draft(gateway, attempt));
      }
    }
    TimeUnit.MILLISECONDS.sleep(WATCH_MS);
    ended = true;
    return judge();
  }

  /** Counts the bookings that were unanswered at their route's time limit, and half a second on. */
  private boolean judge() {
    int unanswered = 0;
    int overdue = 0;
    for (Map.Entry<String, Double> sent : sentMs.entrySet()) {
      double tookMs =
          answeredMs.getOrDefault(sent.getKey(), Double.MAX_VALUE) - sent.getValue();
      unanswered += tookMs > TIMEOUT_MS ? 1 : 0;
      overdue += tookMs > TIMEOUT_MS + SLACK_MS ? 1 : 0;
    }
    recorder.log(
        "of %d bookings, %d were unanswered at their time limit and %d half a second later",
        sentMs.size(), unanswered, overdue);
    return 2 * overdue <= unanswered;
  }

  private void book(GatewayProcess gateway, String clerk) throws Exception {
    for (int number = 1; !ended; ) {
      try (Caller caller = new Caller(gateway, recorder)) {
        caller.setPatienceMs(BOOKING_DEADLINE_MS);
        boolean open = true;
        while (open && !ended) {
          open = bookOnce(caller, clerk + "-" + number);
          number++;
          TimeUnit.MILLISECONDS.sleep(CLERK_PAUSE_MS);
        }
      } catch (IOException e) {
        recorder.log("client %s could not connect or send: %s", clerk, e);
      }
    }
  }

  private boolean bookOnce(Caller caller, String attempt) throws IOException {
    caller.sendHead(
        "POST", "/booking/1", attempt,
        "X-Sequoiareach-Deadline-Ms: " + BOOKING_DEADLINE_MS + "\r\nContent-Length: 5\r\n");
    caller.write("truck");
    double nowMs = recorder.nowMs();
    boolean answered = caller.receive(attempt).status() != 0;
    if (!ended || answered) {
      sentMs.put(attempt, nowMs);
    }
    if (answered) {
      answeredMs.put(attempt, recorder.nowMs());
    }
    return answered;
  }

  private void draft(GatewayProcess gateway, String attempt) throws Exception {
    try (Caller caller = new Caller(gateway, recorder)) {
      caller.setPatienceMs(DRAFT_GAP_MS);
      caller.sendHead(
          "POST", "/draft/1", attempt,
          "X-Sequoiareach-Model: m\r\nX-Sequoiareach-Token-Counts: 600,936\r\n"
              + "X-Sequoiareach-Prompt-Prefix: 5c1e07a2:600\r\nX-Sequoiareach-Deadline-Ms: 39000\r\n"
              + "Content-Length: " + BODY_BYTES + "\r\n");
      caller.write(new byte[BODY_BYTES]);
      caller.receive(attempt);
    } catch (IOException e) {
      recorder.log("client could not send the body of %s: %s", attempt, e);
    }
  }
}
