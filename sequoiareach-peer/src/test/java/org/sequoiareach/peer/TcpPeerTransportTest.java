package org.sequoiareach.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.SheetStatus;
import org.sequoiareach.peer.AttemptMessage.AttemptData;
import org.sequoiareach.peer.AttemptMessage.AttemptEnd;
import org.sequoiareach.peer.AttemptMessage.CancelAttempt;
import org.sequoiareach.peer.AttemptMessage.GrantCredit;
import org.sequoiareach.peer.AttemptMessage.OpenAttempt;
import org.sequoiareach.peer.MembershipMessage.Probe;

class TcpPeerTransportTest {

  private static final PeerLimits LIMITS = new PeerLimits(1 << 16, 1 << 18, 1 << 12, 1_000, 2_000);
  private static final int PART_BYTES = 1 << 10;
  private static final long PATIENCE_MS = 5_000;
  private static final int FIRST_CONNECT_MS = 20_000;

  private final RecordingListener left = new RecordingListener();
  private final RecordingListener right = new RecordingListener();
  private final List<AutoCloseable> open = new ArrayList<>();
  private TcpPeerTransport one;
  private TcpPeerTransport two;

  /**
   * Opens a first connection without a short deadline. In a new JVM it loads the classes of the
   * transport, which takes more than the connect deadline of the tests on a busy machine.
   */
  @BeforeAll
  static void loadClasses() throws Exception {
    PeerLimits limits = new PeerLimits(1 << 16, 1 << 18, 1 << 12, FIRST_CONNECT_MS, 2_000);
    PeerSettings first = new PeerSettings("w1", 1, "a", "127.0.0.1", 0, limits);
    PeerSettings second = new PeerSettings("w2", 1, "a", "127.0.0.1", 0, limits);
    try (TcpPeerTransport from = TcpPeerTransport.start(first, new RecordingListener());
        TcpPeerTransport to = TcpPeerTransport.start(second, new RecordingListener())) {
      from.send("w2", to.address(), probe(1)).get(FIRST_CONNECT_MS, TimeUnit.MILLISECONDS);
    }
  }

  @BeforeEach
  void start() {
    one = start("d1", 1, left, LIMITS);
    two = start("d2", 1, right, LIMITS);
  }

  private TcpPeerTransport start(
      String id, long incarnation, PeerListener listener, PeerLimits limits) {
    PeerSettings settings = new PeerSettings(id, incarnation, "a", "127.0.0.1", 0, limits);
    TcpPeerTransport transport = TcpPeerTransport.start(settings, listener);
    open.add(transport);
    return transport;
  }

  @AfterEach
  void stop() throws Exception {
    for (AutoCloseable closeable : open) {
      closeable.close();
    }
  }

  @Test
  void messagesTravelBothWaysOverOneConnection() throws Exception {
    send(one, "d2", two, probe(1)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(right.nextMessage()).isEqualTo(probe(1));
    send(two, "d1", one, probe(2)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(left.nextMessage()).isEqualTo(probe(2));
    assertThat(one.statistics().connections()).isEqualTo(1);
    assertThat(two.statistics().connections()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void simultaneousOpensLeaveOneConnectionAndLoseNothing(int round) throws Exception {
    List<CompletableFuture<Void>> sent = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      sent.add(send(one, "d2", two, probe(i)));
      sent.add(send(two, "d1", one, probe(i)));
    }
    for (CompletableFuture<Void> future : sent) {
      future.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }
    for (int i = 0; i < 20; i++) {
      assertThat(left.nextMessage()).as("round %s", round).isEqualTo(probe(i));
      assertThat(right.nextMessage()).as("round %s", round).isEqualTo(probe(i));
    }
    assertThat(one.statistics().connections()).isEqualTo(1);
  }

  @Test
  void unreachablePeerFailsAsNotRun() throws Exception {
    int unused;
    try (ServerSocket socket = new ServerSocket(0)) {
      unused = socket.getLocalPort();
    }
    CompletableFuture<Void> sent = one.send("d9", "127.0.0.1:" + unused, probe(1));
    assertThat(failure(sent).verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void silentPeerFailsAsNotRunAtTheConnectDeadline() throws Exception {
    try (ServerSocket silent = new ServerSocket(0)) {
      CompletableFuture<Void> sent =
          one.send("d9", "127.0.0.1:" + silent.getLocalPort(), openAttempt("a", 60_000));
      assertThat(failure(sent).verdict()).isEqualTo(Verdict.NOT_RUN);
    }
  }

  @Test
  void versionMismatchClosesTheConnection() throws Exception {
    int[] versions = {7, 9};
    PeerSettings settings = new PeerSettings("d7", 1, "b", "127.0.0.1", 0, LIMITS);
    TcpPeerTransport later = TcpPeerTransport.start(settings, new RecordingListener(), versions);
    open.add(later);
    RequestFailedException failure = failure(send(one, "d7", later, probe(1)));
    assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(failure).hasMessageContaining("VERSION_MISMATCH");
    assertThat(one.statistics().connections()).isZero();
  }

  @Test
  void anotherIdentityAtTheAddressIsRefused() throws Exception {
    RequestFailedException failure = failure(send(one, "d3", two, probe(1)));
    assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(right.received()).isZero();
  }

  @Test
  void cutMidStreamTellsBothSidesAndFailsWhatWaits() throws Exception {
    try (Relay relay = new Relay(two)) {
      one.send("d2", relay.address(), openAttempt("a", 60_000)).get(5, TimeUnit.SECONDS);
      assertThat(right.next(OpenAttempt.class).attemptId()).isEqualTo("a");
      final List<CompletableFuture<Void>> parts = sendParts("a", 7);
      relay.cut();
      assertThat(left.nextLost()).isEqualTo("d2");
      assertThat(right.nextLost()).isEqualTo("d1");
      RequestFailedException cut = failure(parts.get(6));
      assertThat(cut.verdict()).isEqualTo(Verdict.NOT_RUN);
      assertThat(cut.reason()).isEqualTo(Reason.OWNER_FAILED);
    }
    CompletableFuture<Void> late = send(two, "d1", one, part("a", 9));
    assertThat(failure(late).reason()).isEqualTo(Reason.CANCELLED);
  }

  @Test
  void slowReaderBoundsItsStreamAndHoldsUpNoOther() throws Exception {
    open("slow");
    open("quick");
    List<CompletableFuture<Void>> parts = sendParts("slow", 100);
    assertThat(failure(parts.get(99)).reason()).isEqualTo(Reason.SLOW_CALLER);
    for (int i = 1; i <= 50; i++) {
      send(two, "d1", one, part("quick", i)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
      send(one, "d2", two, new GrantCredit("quick", PART_BYTES));
    }
    send(two, "d1", one, new AttemptEnd("quick", Outcome.finished(50), Optional.empty()))
        .get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(countUntilEnd("quick")).isEqualTo(50);
    assertThat(two.statistics().heldBytes()).isBetween(1L, 2L * LIMITS.streamWindowBytes());
    long granted = parts.stream().filter(CompletableFuture::isDone).filter(this::succeeded).count();
    assertThat(granted).isEqualTo(LIMITS.streamWindowBytes() / PART_BYTES);
  }

  @Test
  void creditLetsTheRestThroughInOrder() throws Exception {
    open("a");
    CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
    for (int i = 1; i <= 20; i++) {
      final int sequence = i;
      last = last.thenCompose(done -> send(two, "d1", one, part("a", sequence)));
    }
    last.thenRun(
        () -> send(two, "d1", one, new AttemptEnd("a", Outcome.finished(20), Optional.empty())));
    for (int i = 1; i <= 20; i++) {
      assertThat(left.next(AttemptData.class).sequence()).isEqualTo(i);
      send(one, "d2", two, new GrantCredit("a", PART_BYTES));
    }
    assertThat(left.nextMessage()).isInstanceOf(AttemptEnd.class);
  }

  @Test
  void cancelDropsWhatWaitsAndReachesTheListener() throws Exception {
    open("a");
    List<CompletableFuture<Void>> parts = sendParts("a", 7);
    send(one, "d2", two, new CancelAttempt("a", false));
    assertThat(right.nextMessage()).isEqualTo(new CancelAttempt("a", false));
    assertThat(failure(parts.get(6)).reason()).isEqualTo(Reason.CANCELLED);
    assertThat(two.statistics().heldBytes()).isZero();
  }

  @Test
  void remainingTimeShrinksWhileTheConnectionIsOpened() throws Exception {
    try (Relay relay = new Relay(two)) {
      relay.pause();
      CompletableFuture<Void> kept = one.send("d2", relay.address(), openAttempt("kept", 60_000));
      final CompletableFuture<Void> expired =
          one.send("d2", relay.address(), openAttempt("expired", 100));
      Thread.sleep(200);
      relay.resume();
      kept.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
      assertThat(right.next(OpenAttempt.class).remainingMs()).isBetween(1L, 59_850L);
      assertThat(failure(expired).reason()).isEqualTo(Reason.DEADLINE);
      assertThat(right.received()).isZero();
    }
  }

  @Test
  void messageBeyondTheFrameBoundIsNotSent() throws Exception {
    AttemptData large = new AttemptData("a", 1, new byte[LIMITS.maxFrameBytes() + 1], 0);
    assertThat(failure(send(one, "d2", two, large)).reason()).isEqualTo(Reason.TOO_LARGE);
  }

  @ParameterizedTest
  @ValueSource(ints = {Integer.MAX_VALUE, -1, 1 << 20})
  void oversizeFrameClosesOnlyItsConnection(int length) throws Exception {
    send(one, "d2", two, probe(1)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    try (RawPeer raw = new RawPeer(two)) {
      raw.greet("x");
      raw.writeLength(length);
      assertThat(raw.isClosedByPeer()).isTrue();
    }
    assertOtherConnectionStands();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "c1", "6e6f74", "92a2393980"})
  void undecodableFrameClosesOnlyItsConnection(String hex) throws Exception {
    send(one, "d2", two, probe(1)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    byte[] payload = HexFormat.of().parseHex(hex);
    try (RawPeer raw = new RawPeer(two)) {
      raw.greet("x");
      raw.writeFrame(payload);
      assertThat(raw.isClosedByPeer()).isTrue();
    }
    try (RawPeer raw = new RawPeer(two)) {
      raw.writeFrame(payload);
      assertThat(raw.isClosedByPeer()).isTrue();
    }
    assertOtherConnectionStands();
  }

  @Test
  void laterIncarnationReplacesTheConnection() throws Exception {
    send(one, "d2", two, probe(1)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    TcpPeerTransport restarted = start("d1", 2, new RecordingListener(), LIMITS);
    send(restarted, "d2", two, probe(2)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(right.nextLost()).isEqualTo("d1");
    awaitNoConnection(one);
    assertThat(failure(send(one, "d2", two, probe(3)))).hasMessageContaining("OUTDATED");
  }

  @Test
  void silentConnectionStaysOnlyWhileAttemptsAreOpen() throws Exception {
    PeerLimits brief = new PeerLimits(1 << 16, 1 << 18, 1 << 12, 1_000, 300);
    TcpPeerTransport three = start("d3", 1, left, brief);
    TcpPeerTransport four = start("d4", 1, right, brief);
    send(three, "d4", four, openAttempt("a", 60_000)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    Thread.sleep(900);
    assertThat(three.statistics().connections()).isEqualTo(1);
    send(four, "d3", three, new AttemptEnd("a", Outcome.finished(1), Optional.empty()));
    awaitNoConnection(three);
    awaitNoConnection(four);
    assertThat(left.lost()).isZero();
  }

  @Test
  void unusedConnectionIsLostWithoutNotice() throws Exception {
    send(one, "d2", two, probe(1)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    two.close();
    awaitNoConnection(one);
    assertThat(left.lost()).isZero();
  }

  private static void awaitNoConnection(TcpPeerTransport transport) throws InterruptedException {
    long deadlineMs = System.nanoTime() / 1_000_000 + PATIENCE_MS;
    while (transport.statistics().connections() > 0) {
      assertThat(System.nanoTime() / 1_000_000).isLessThan(deadlineMs);
      Thread.sleep(10);
    }
  }

  private void open(String attemptId) throws Exception {
    send(one, "d2", two, openAttempt(attemptId, 60_000)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(right.next(OpenAttempt.class).attemptId()).isEqualTo(attemptId);
  }

  private List<CompletableFuture<Void>> sendParts(String attemptId, int count) {
    List<CompletableFuture<Void>> parts = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      parts.add(send(two, "d1", one, part(attemptId, i)));
    }
    return parts;
  }

  private int countUntilEnd(String attemptId) throws InterruptedException {
    int parts = 0;
    PeerMessage message = left.nextMessage();
    while (!(message instanceof AttemptEnd)) {
      assertThat(message).isInstanceOf(AttemptData.class);
      parts += ((AttemptData) message).attemptId().equals(attemptId) ? 1 : 0;
      message = left.nextMessage();
    }
    return parts;
  }

  private void assertOtherConnectionStands() throws Exception {
    send(one, "d2", two, probe(2)).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(right.nextMessage()).isEqualTo(probe(1));
    assertThat(right.nextMessage()).isEqualTo(probe(2));
    assertThat(one.statistics().connections()).isEqualTo(1);
  }

  private boolean succeeded(CompletableFuture<Void> future) {
    return !future.isCompletedExceptionally();
  }

  private static CompletableFuture<Void> send(
      TcpPeerTransport from, String id, TcpPeerTransport to, PeerMessage message) {
    return from.send(id, to.address(), message);
  }

  private static RequestFailedException failure(CompletableFuture<Void> future)
      throws InterruptedException, TimeoutException {
    try {
      future.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | CompletionException e) {
      return (RequestFailedException) e.getCause();
    }
    throw new AssertionError("The message was sent.");
  }

  private static Probe probe(long sequence) {
    return new Probe(sequence, List.of(), SheetStatus.UNKNOWN);
  }

  private static AttemptData part(String attemptId, int sequence) {
    return new AttemptData(attemptId, sequence, new byte[PART_BYTES], 1);
  }

  private static OpenAttempt openAttempt(String attemptId, long remainingMs) {
    RequestSpec spec =
        new RequestSpec("r", "o", RequestKind.GENERATION, "m", "", true, "", 1, 1, List.of(), true);
    return new OpenAttempt(
        attemptId, "e", spec, 1, 1, remainingMs, "POST", "/", List.of(), new byte[10]);
  }

  /** Speaks frames over a plain socket. */
  private static final class RawPeer implements AutoCloseable {

    private final Socket socket;
    private final DataOutputStream out;
    private final DataInputStream in;

    private RawPeer(TcpPeerTransport to) throws IOException {
      String[] parts = to.address().split(":");
      socket = new Socket(parts[0], Integer.parseInt(parts[1]));
      socket.setSoTimeout((int) PATIENCE_MS);
      out = new DataOutputStream(socket.getOutputStream());
      in = new DataInputStream(socket.getInputStream());
    }

    private void greet(String id) throws IOException {
      writeFrame(PeerCodec.encode(new Handshake(1, 1, id, 1, "a", 1, Handshake.Answer.NONE)));
      in.skipNBytes(in.readInt());
    }

    private void writeLength(int length) throws IOException {
      out.writeInt(length);
    }

    private void writeFrame(byte[] payload) throws IOException {
      out.writeInt(payload.length);
      out.write(payload);
    }

    private boolean isClosedByPeer() {
      try {
        return in.read() < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
