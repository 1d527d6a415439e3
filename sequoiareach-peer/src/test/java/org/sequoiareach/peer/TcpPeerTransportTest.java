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
  private static final long TIMEOUT_MS = 5_000;
  private static final int FIRST_CONNECT_MS = 20_000;

  private final RecordingListener firstListener = new RecordingListener();
  private final RecordingListener secondListener = new RecordingListener();
  private final List<AutoCloseable> open = new ArrayList<>();
  private TcpPeerTransport first;
  private TcpPeerTransport second;

  /**
   * Opens a first connection with a long timeout. In a new JVM it loads the classes of the
   * transport, which on a busy machine can take longer than the connect timeout of the tests.
   */
  @BeforeAll
  static void loadClasses() throws Exception {
    PeerLimits limits = new PeerLimits(1 << 16, 1 << 18, 1 << 12, FIRST_CONNECT_MS, 2_000);
    PeerSettings fromSettings = new PeerSettings("w1", 1, "a", "127.0.0.1", 0, limits);
    PeerSettings toSettings = new PeerSettings("w2", 1, "a", "127.0.0.1", 0, limits);
    try (TcpPeerTransport from = TcpPeerTransport.start(fromSettings, new RecordingListener());
        TcpPeerTransport to = TcpPeerTransport.start(toSettings, new RecordingListener())) {
      from.send("w2", to.address(), probe(1)).get(FIRST_CONNECT_MS, TimeUnit.MILLISECONDS);
    }
  }

  @BeforeEach
  void start() {
    first = start("d1", 1, firstListener, LIMITS);
    second = start("d2", 1, secondListener, LIMITS);
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
  void messagesUseOneConnectionInBothDirections() throws Exception {
    send(first, "d2", second, probe(1)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(secondListener.nextMessage()).isEqualTo(probe(1));
    send(second, "d1", first, probe(2)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(firstListener.nextMessage()).isEqualTo(probe(2));
    assertThat(first.statistics().connections()).isEqualTo(1);
    assertThat(second.statistics().connections()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void simultaneousOpensKeepOneConnectionAndLoseNoMessages(int round) throws Exception {
    List<CompletableFuture<Void>> sent = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      sent.add(send(first, "d2", second, probe(i)));
      sent.add(send(second, "d1", first, probe(i)));
    }
    for (CompletableFuture<Void> future : sent) {
      future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
    for (int i = 0; i < 20; i++) {
      assertThat(firstListener.nextMessage()).as("round %s", round).isEqualTo(probe(i));
      assertThat(secondListener.nextMessage()).as("round %s", round).isEqualTo(probe(i));
    }
    assertThat(first.statistics().connections()).isEqualTo(1);
  }

  @Test
  void unreachablePeerFailsAsNotRun() throws Exception {
    int unusedPort;
    try (ServerSocket socket = new ServerSocket(0)) {
      unusedPort = socket.getLocalPort();
    }
    CompletableFuture<Void> sent = first.send("d9", "127.0.0.1:" + unusedPort, probe(1));
    assertThat(failure(sent).verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void peerWithoutHandshakeFailsAsNotRunAfterConnectTimeout() throws Exception {
    try (ServerSocket silentServer = new ServerSocket(0)) {
      CompletableFuture<Void> sent =
          first.send("d9", "127.0.0.1:" + silentServer.getLocalPort(), openAttempt("a", 60_000));
      assertThat(failure(sent).verdict()).isEqualTo(Verdict.NOT_RUN);
    }
  }

  @Test
  void versionMismatchClosesTheConnection() throws Exception {
    int[] versions = {7, 9};
    PeerSettings settings = new PeerSettings("d7", 1, "b", "127.0.0.1", 0, LIMITS);
    TcpPeerTransport incompatible =
        TcpPeerTransport.start(settings, new RecordingListener(), versions);
    open.add(incompatible);
    RequestFailedException failure = failure(send(first, "d7", incompatible, probe(1)));
    assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(failure).hasMessageContaining("VERSION_MISMATCH");
    assertThat(first.statistics().connections()).isZero();
  }

  @Test
  void peerWithUnexpectedIdentityIsRejected() throws Exception {
    RequestFailedException failure = failure(send(first, "d3", second, probe(1)));
    assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(secondListener.receivedCount()).isZero();
  }

  @Test
  void lossDuringAnswerNotifiesBothSidesAndFailsQueuedParts() throws Exception {
    try (Relay relay = new Relay(second)) {
      first.send("d2", relay.address(), openAttempt("a", 60_000)).get(5, TimeUnit.SECONDS);
      assertThat(secondListener.next(OpenAttempt.class).attemptId()).isEqualTo("a");
      final List<CompletableFuture<Void>> parts = sendParts("a", 7);
      relay.dropConnections();
      assertThat(firstListener.nextLostPeer()).isEqualTo("d2");
      assertThat(secondListener.nextLostPeer()).isEqualTo("d1");
      RequestFailedException lost = failure(parts.get(6));
      assertThat(lost.verdict()).isEqualTo(Verdict.NOT_RUN);
      assertThat(lost.reason()).isEqualTo(Reason.OWNER_FAILED);
    }
    CompletableFuture<Void> partAfterLoss = send(second, "d1", first, part("a", 9));
    assertThat(failure(partAfterLoss).reason()).isEqualTo(Reason.CANCELLED);
  }

  @Test
  void slowReaderLimitsItsStreamAndBlocksNoOther() throws Exception {
    open("slow");
    open("quick");
    List<CompletableFuture<Void>> parts = sendParts("slow", 100);
    assertThat(failure(parts.get(99)).reason()).isEqualTo(Reason.SLOW_CALLER);
    for (int i = 1; i <= 50; i++) {
      send(second, "d1", first, part("quick", i)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      send(first, "d2", second, new GrantCredit("quick", PART_BYTES));
    }
    send(second, "d1", first, new AttemptEnd("quick", Outcome.finished(50), Optional.empty()))
        .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(countUntilEnd("quick")).isEqualTo(50);
    assertThat(second.statistics().bufferedBytes()).isBetween(1L, 2L * LIMITS.streamWindowBytes());
    long granted = parts.stream().filter(CompletableFuture::isDone).filter(this::succeeded).count();
    assertThat(granted).isEqualTo(LIMITS.streamWindowBytes() / PART_BYTES);
  }

  @Test
  void creditReleasesRemainingPartsInOrder() throws Exception {
    open("a");
    CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
    for (int i = 1; i <= 20; i++) {
      final int sequence = i;
      last = last.thenCompose(done -> send(second, "d1", first, part("a", sequence)));
    }
    last.thenRun(
        () ->
            send(second, "d1", first, new AttemptEnd("a", Outcome.finished(20), Optional.empty())));
    for (int i = 1; i <= 20; i++) {
      assertThat(firstListener.next(AttemptData.class).sequence()).isEqualTo(i);
      send(first, "d2", second, new GrantCredit("a", PART_BYTES));
    }
    assertThat(firstListener.nextMessage()).isInstanceOf(AttemptEnd.class);
  }

  @Test
  void cancelFailsQueuedPartsAndReachesTheListener() throws Exception {
    open("a");
    List<CompletableFuture<Void>> parts = sendParts("a", 7);
    send(first, "d2", second, new CancelAttempt("a", false));
    assertThat(secondListener.nextMessage()).isEqualTo(new CancelAttempt("a", false));
    assertThat(failure(parts.get(6)).reason()).isEqualTo(Reason.CANCELLED);
    assertThat(second.statistics().bufferedBytes()).isZero();
  }

  @Test
  void timeSpentOpeningTheConnectionIsDeductedFromRemainingTime() throws Exception {
    try (Relay relay = new Relay(second)) {
      relay.pause();
      CompletableFuture<Void> kept = first.send("d2", relay.address(), openAttempt("kept", 60_000));
      final CompletableFuture<Void> expired =
          first.send("d2", relay.address(), openAttempt("expired", 100));
      Thread.sleep(200);
      relay.resume();
      kept.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertThat(secondListener.next(OpenAttempt.class).remainingMs()).isBetween(1L, 59_850L);
      assertThat(failure(expired).reason()).isEqualTo(Reason.DEADLINE);
      assertThat(secondListener.receivedCount()).isZero();
    }
  }

  @Test
  void messageAboveTheFrameLimitIsNotSent() throws Exception {
    AttemptData large = new AttemptData("a", 1, new byte[LIMITS.maxFrameBytes() + 1], 0);
    assertThat(failure(send(first, "d2", second, large)).reason()).isEqualTo(Reason.TOO_LARGE);
  }

  @ParameterizedTest
  @ValueSource(ints = {Integer.MAX_VALUE, -1, 1 << 20})
  void oversizeFrameClosesOnlyItsConnection(int length) throws Exception {
    send(first, "d2", second, probe(1)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    try (RawPeer raw = new RawPeer(second)) {
      raw.sendHandshake("x");
      raw.writeLength(length);
      assertThat(raw.isClosedByTransport()).isTrue();
    }
    assertOtherConnectionIsOpen();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "c1", "6e6f74", "92a2393980"})
  void undecodableFrameClosesOnlyItsConnection(String hex) throws Exception {
    send(first, "d2", second, probe(1)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    byte[] payload = HexFormat.of().parseHex(hex);
    try (RawPeer raw = new RawPeer(second)) {
      raw.sendHandshake("x");
      raw.writeFrame(payload);
      assertThat(raw.isClosedByTransport()).isTrue();
    }
    try (RawPeer raw = new RawPeer(second)) {
      raw.writeFrame(payload);
      assertThat(raw.isClosedByTransport()).isTrue();
    }
    assertOtherConnectionIsOpen();
  }

  @Test
  void laterIncarnationReplacesTheConnection() throws Exception {
    send(first, "d2", second, probe(1)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    TcpPeerTransport restarted = start("d1", 2, new RecordingListener(), LIMITS);
    send(restarted, "d2", second, probe(2)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(secondListener.nextLostPeer()).isEqualTo("d1");
    awaitNoConnection(first);
    assertThat(failure(send(first, "d2", second, probe(3)))).hasMessageContaining("OUTDATED");
  }

  @Test
  void idleConnectionIsKeptOnlyWhileAttemptsAreOpen() throws Exception {
    PeerLimits shortIdleTimeout = new PeerLimits(1 << 16, 1 << 18, 1 << 12, 1_000, 300);
    TcpPeerTransport third = start("d3", 1, firstListener, shortIdleTimeout);
    TcpPeerTransport fourth = start("d4", 1, secondListener, shortIdleTimeout);
    send(third, "d4", fourth, openAttempt("a", 60_000)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    Thread.sleep(900);
    assertThat(third.statistics().connections()).isEqualTo(1);
    send(fourth, "d3", third, new AttemptEnd("a", Outcome.finished(1), Optional.empty()));
    awaitNoConnection(third);
    awaitNoConnection(fourth);
    assertThat(firstListener.lostCount()).isZero();
  }

  @Test
  void lossOfUnusedConnectionIsNotReported() throws Exception {
    send(first, "d2", second, probe(1)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    second.close();
    awaitNoConnection(first);
    assertThat(firstListener.lostCount()).isZero();
  }

  private static void awaitNoConnection(TcpPeerTransport transport) throws InterruptedException {
    long deadlineMs = System.nanoTime() / 1_000_000 + TIMEOUT_MS;
    while (transport.statistics().connections() > 0) {
      assertThat(System.nanoTime() / 1_000_000).isLessThan(deadlineMs);
      Thread.sleep(10);
    }
  }

  private void open(String attemptId) throws Exception {
    send(first, "d2", second, openAttempt(attemptId, 60_000))
        .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(secondListener.next(OpenAttempt.class).attemptId()).isEqualTo(attemptId);
  }

  private List<CompletableFuture<Void>> sendParts(String attemptId, int count) {
    List<CompletableFuture<Void>> parts = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      parts.add(send(second, "d1", first, part(attemptId, i)));
    }
    return parts;
  }

  private int countUntilEnd(String attemptId) throws InterruptedException {
    int parts = 0;
    PeerMessage message = firstListener.nextMessage();
    while (!(message instanceof AttemptEnd)) {
      assertThat(message).isInstanceOf(AttemptData.class);
      parts += ((AttemptData) message).attemptId().equals(attemptId) ? 1 : 0;
      message = firstListener.nextMessage();
    }
    return parts;
  }

  private void assertOtherConnectionIsOpen() throws Exception {
    send(first, "d2", second, probe(2)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(secondListener.nextMessage()).isEqualTo(probe(1));
    assertThat(secondListener.nextMessage()).isEqualTo(probe(2));
    assertThat(first.statistics().connections()).isEqualTo(1);
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
      future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | CompletionException e) {
      return (RequestFailedException) e.getCause();
    }
    throw new AssertionError("The message was sent but was expected to fail.");
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

  /** Peer that exchanges frames over a plain socket. */
  private static final class RawPeer implements AutoCloseable {

    private final Socket socket;
    private final DataOutputStream out;
    private final DataInputStream in;

    private RawPeer(TcpPeerTransport transport) throws IOException {
      String[] parts = transport.address().split(":");
      socket = new Socket(parts[0], Integer.parseInt(parts[1]));
      socket.setSoTimeout((int) TIMEOUT_MS);
      out = new DataOutputStream(socket.getOutputStream());
      in = new DataInputStream(socket.getInputStream());
    }

    private void sendHandshake(String id) throws IOException {
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

    private boolean isClosedByTransport() {
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
