package review2;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that nobody controls send request heads of legal size whose prompt lists many parts, and
 * are slow with the body. They come to two machines, and again when these are back.
 */
final class HeapCase implements Main.Case {

  private static final int MACHINES = 2;
  private static final int TIMES = 3;
  private static final int CLIENTS = 400;
  private static final int PREFIX_BYTES = 15_400;
  private static final long MAX_WAIT_MS = 28_000;
  private static final long CALM_WAIT_MS = 5_000;

  @Override
  public int run(Deployment deployment) throws Exception {
    for (int i = 1; i <= 3; i++) {
      new Desk(deployment, "i-desk-" + i, 80);
    }
    deployment.startGateways(MACHINES);
    AtomicInteger machinesThatEnded = new AtomicInteger();
    List<Thread> crowds = new ArrayList<>();
    for (GatewayProcess gateway : deployment.gateways()) {
      crowds.add(
          Http.daemon(
              "crowd",
              () -> machinesThatEnded.addAndGet(press(deployment, gateway) == TIMES ? 1 : 0)));
    }
    Bookings bookings = new Bookings(deployment, 4, 3_000);
    for (Thread crowd : crowds) {
      crowd.join();
    }
    bookings.join();
    deployment.note(
        "machines whose process ended by itself "
            + TIMES
            + " times: "
            + machinesThatEnded
            + " of "
            + MACHINES
            + "; bookings answered before the first end: "
            + bookings.answered);
    if (bookings.answered.get() == 0) {
      return 2;
    }
    return machinesThatEnded.get() >= 2 ? 1 : 0;
  }

  /** Returns how often the process ended by itself. */
  private static int press(Deployment deployment, GatewayProcess gateway) {
    int ends = 0;
    try {
      Thread.sleep(2_000);
      for (int time = 1; time <= TIMES; time++) {
        List<Socket> clients = connect(deployment, gateway, time);
        long waitMs = deployment.trouble ? MAX_WAIT_MS : CALM_WAIT_MS;
        for (long endMs = Engine.nowMs() + waitMs;
            gateway.process().isAlive() && Engine.nowMs() < endMs; ) {
          Thread.sleep(100);
        }
        for (Socket client : clients) {
          client.close();
        }
        if (!gateway.noteEnd()) {
          return ends;
        }
        ends++;
        if (time < TIMES) {
          gateway.start();
        }
      }
    } catch (Exception e) {
      deployment.note(gateway.name() + ": " + e);
    }
    return ends;
  }

  private static List<Socket> connect(Deployment deployment, GatewayProcess gateway, int time)
      throws Exception {
    List<Socket> clients = new ArrayList<>();
    String parts = deployment.trouble ? manyParts() : "5c1e07a2:79,91bd3f06:2921";
    for (int i = 0; i < CLIENTS && gateway.process().isAlive(); i++) {
      try {
        Socket client = gateway.connect(0);
        clients.add(client);
        Http.write(
            client.getOutputStream(),
            Deployment.head(
                "POST",
                "/draft/1",
                "uncontrolled-" + time + "-" + i,
                39_000,
                "X-Sequoiareach-Model: m\r\nX-Sequoiareach-Token-Counts: 3000,936\r\n"
                    + "X-Sequoiareach-Prompt-Prefix: "
                    + parts
                    + "\r\nContent-Length: 3000\r\n"));
      } catch (java.io.IOException e) {
        deployment.note("uncontrolled client " + i + ": " + e.getMessage());
      }
      Thread.sleep(2);
    }
    deployment.note(
        gateway.name()
            + ": uncontrolled clients="
            + clients.size()
            + " resident="
            + gateway.residentMb()
            + " MB");
    return clients;
  }

  /** Lists parts of one token up to the size of a legal head. */
  private static String manyParts() {
    StringBuilder parts = new StringBuilder("0:1");
    while (parts.length() < PREFIX_BYTES) {
      parts.append(',').append(Integer.toHexString(parts.length() & 15)).append(":1");
    }
    return parts.toString();
  }
}
