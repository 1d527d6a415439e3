import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends a body that is no longer than MaxBodyBytes in small chunks, three times to each of
 * two gateways. Each time the gateway runs out of memory and ends; the platform starts it again.
 * Others book loads meanwhile.
 */
final class BodyInSmallChunks extends Case {

  private static final int GATEWAYS = 2;
  private static final int CLERKS_PER_GATEWAY = 8;

  /** The ends of the processes of one machine that break the rule, on two machines at least. */
  private static final int ENDS = 3;

  private static final int BODY_BYTES = 4_194_304;
  private static final int SMALL_CHUNK_BYTES = 4;
  private static final int LARGE_CHUNK_BYTES = 8_192;
  private static final long RESTART_DELAY_MS = 500;
  private static final long END_TIMEOUT_MS = 5_000;

  private final AtomicInteger closedWithoutAnswer = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final List<DeskStandin> desks = new ArrayList<>();
  private volatile boolean ended;

  private BodyInSmallChunks(Path folder) throws Exception {
    super(folder);
  }

  public static void main(String[] args) throws Exception {
    new BodyInSmallChunks(Path.of(args[0])).runAndExit();
  }

  @Override
  boolean holds() throws Exception {
    StoreStandin store = open(new StoreStandin());
    store.put("op/config", Deployment.configuration(1));
    for (int i = 1; i <= 3; i++) {
      DeskStandin desk = open(new DeskStandin("d-" + i, recorder, 21));
      desks.add(desk);
      store.put("servers/d-" + i, Deployment.server("desk", desk.address(), 6, "available", 4));
    }
    List<GatewayProcess> gateways = startGateways(GATEWAYS, store, desks.size());
    for (GatewayProcess gateway : gateways) {
      for (int i = 1; i <= CLERKS_PER_GATEWAY; i++) {
        String clerk = gateway.name + "-c" + i;
        Threads.start(() -> book(gateway, clerk));
      }
    }
    TimeUnit.MILLISECONDS.sleep(1_000);

    List<String> seeds = gateways.stream().map(gateway -> gateway.peerAddress).toList();
    AtomicInteger machines = new AtomicInteger();
    List<Thread> uploads = new ArrayList<>();
    for (GatewayProcess gateway : gateways) {
      uploads.add(
          Threads.start(
              () -> {
                if (countEnds(gateway, store, seeds) >= ENDS) {
                  machines.incrementAndGet();
                }
              }));
    }
    for (Thread upload : uploads) {
      upload.join();
    }
    ended = true;
    recorder.log(
        "on %d of %d machines the process ended by itself %d times; %d bookings answered, %d passed "
            + "on from kept connections and closed without an answer",
        machines.get(), GATEWAYS, ENDS, answered.get(), closedWithoutAnswer.get());
    return machines.get() < GATEWAYS;
  }

  /** Uploads the body several times and returns how often the process ended by itself. */
  private int countEnds(GatewayProcess gateway, StoreStandin store, List<String> seeds)
      throws Exception {
    int ends = 0;
    for (int i = 1; i <= ENDS; i++) {
      upload(gateway, gateway.name + "-chunked-" + i);
      if (!gateway.awaitEnd(trouble ? END_TIMEOUT_MS : RESTART_DELAY_MS)) {
        continue;
      }
      ends++;
      recorder.log("%s ENDED BY ITSELF with code %d", gateway.name, gateway.exitValue());
      TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
      gateway.start(store.address(), seeds);
      gateway.awaitReady(desks.size());
    }
    return ends;
  }

  private void upload(GatewayProcess gateway, String attempt) {
    try (Caller caller = new Caller(gateway, recorder)) {
      caller.sendHead(
          "POST", "/booking/1", attempt,
          "X-Sequoiareach-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n");
      caller.write(chunked(trouble ? SMALL_CHUNK_BYTES : LARGE_CHUNK_BYTES));
      caller.receive(attempt);
    } catch (IOException e) {
      recorder.log("client could not send the whole body of %s: %s", attempt, e);
    }
  }

  private void book(GatewayProcess gateway, String clerk) throws Exception {
    for (int number = 1; !ended; ) {
      TimeUnit.MILLISECONDS.sleep(100);
      try (Caller caller = new Caller(gateway, recorder)) {
        boolean open = true;
        for (boolean kept = false; open && !ended; kept = true) {
          open = bookOnce(caller, clerk + "-" + number, kept);
          number++;
        }
      } catch (IOException e) {
        recorder.log("client %s could not connect or send: %s", clerk, e);
      }
    }
  }

  private boolean bookOnce(Caller caller, String attempt, boolean kept) throws IOException {
    caller.sendHead(
        "POST", "/booking/1", attempt, "X-Sequoiareach-Deadline-Ms: 1500\r\nContent-Length: 5\r\n");
    caller.write("truck");
    if (caller.receive(attempt).status() != 0) {
      answered.incrementAndGet();
      return true;
    }
    if (kept && !ended && desks.stream().anyMatch(desk -> desk.runs().containsKey(attempt))) {
      closedWithoutAnswer.incrementAndGet();
    }
    return false;
  }

  private static byte[] chunked(int chunkBytes) {
    String text = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
    byte[] chunk = text.getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int sent = 0; sent < BODY_BYTES; sent += chunkBytes) {
      body.writeBytes(chunk);
    }
    body.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    return body.toByteArray();
  }
}
