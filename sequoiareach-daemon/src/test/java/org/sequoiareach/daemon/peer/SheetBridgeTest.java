package org.sequoiareach.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.sheet.SheetEffect;
import org.sequoiareach.decision.sheet.SheetGuardSettings;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.peer.MembershipMessage;
import org.sequoiareach.peer.PeerLimits;
import org.sequoiareach.peer.PeerListener;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerSettings;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.peer.SheetMessage;
import org.sequoiareach.peer.TcpPeerTransport;
import org.sequoiareach.store.time.MonotonicClock;

/** Tests the synchronisation of sheets between daemons over a real transport. */
class SheetBridgeTest {

  private static final long READY_TIMEOUT_MS = 10_000;

  private final List<Node> nodes = new ArrayList<>();

  @AfterEach
  void stop() {
    nodes.forEach(Node::close);
  }

  @Test
  void daemonStartedDuringStoreOutageGetsSheetFromTwoPeers() throws Exception {
    Sheet sheet = new Sheet(7, List.of(), List.of(), List.of());
    for (int i = 0; i < 3; i++) {
      nodes.add(new Node("d" + i));
    }
    nodes.forEach(node -> node.post(node.vmsListed(nodes)));
    long askedMs = MonotonicClock.nowMs();
    nodes.get(0).post(new PlatformEvent.SheetRead(askedMs, askedMs, sheet));
    nodes.get(1).post(new PlatformEvent.SheetRead(askedMs, askedMs, sheet));
    awaitReady(nodes.get(2), sheet);
  }

  private static void awaitReady(Node node, Sheet sheet) throws Exception {
    long deadlineMs = MonotonicClock.nowMs() + READY_TIMEOUT_MS;
    while (!node.isReadyWith(sheet)) {
      assertThat(MonotonicClock.nowMs()).as("ready in time").isLessThan(deadlineMs);
      Thread.sleep(20);
    }
  }

  /** A daemon reduced to membership and sheet synchronisation. */
  private static final class Node implements PeerListener {

    private final ScheduledExecutorService control =
        Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
    private final CompletableFuture<PeerTransport> transport = new CompletableFuture<>();
    private final PeerDirectory directory = new PeerDirectory();
    private final MembershipBridge membershipBridge = new MembershipBridge(this::post, transport);
    private final SheetBridge sheetBridge = new SheetBridge(this::post, directory, transport);
    private final GroupReducer reducer;
    private final VmEntry vm;

    private Node(String id) {
      PeerSettings settings = new PeerSettings(id, 1, "a", "127.0.0.1", 0, PeerLimits.DEFAULT);
      PeerTransport started = TcpPeerTransport.start(settings, this);
      this.vm = new VmEntry(id, VmKind.DAEMON, started.address(), "a", false, List.of());
      this.reducer =
          new GroupReducer(
              new GroupSettings(
                  new MembershipSettings(id, started.address(), "a", 1, 1),
                  new SheetGuardSettings(id, 5_000, 2_000, 1)));
      transport.complete(started);
      control.scheduleWithFixedDelay(this::tick, 0, 50, TimeUnit.MILLISECONDS);
    }

    @Override
    public void onMessage(String fromDaemon, PeerMessage message) {
      if (message instanceof MembershipMessage membership) {
        membershipBridge.onMessage(fromDaemon, membership);
      } else if (message instanceof SheetMessage sheet) {
        sheetBridge.onMessage(fromDaemon, sheet);
      }
    }

    @Override
    public void onPeerLost(String daemonId) {
      membershipBridge.onPeerLost(daemonId);
    }

    private Event vmsListed(List<Node> all) {
      List<VmEntry> vms = all.stream().map(node -> node.vm).toList();
      directory.handle(new Effect.UseVms(vms));
      long nowMs = MonotonicClock.nowMs();
      return new PlatformEvent.VmsListed(nowMs, nowMs, vms);
    }

    private void post(Event event) {
      if (!control.isShutdown()) {
        control.execute(() -> apply(event));
      }
    }

    private void tick() {
      apply(new TimeEvent.Ticked(MonotonicClock.nowMs()));
    }

    private void apply(Event event) {
      for (Effect effect : reducer.reduce(event)) {
        if (effect instanceof MembershipEffect membership) {
          membershipBridge.handle(membership);
        } else if (effect instanceof SheetEffect sheet) {
          sheetBridge.handle(sheet);
        }
      }
    }

    private boolean isReadyWith(Sheet sheet) throws Exception {
      return control
          .submit(
              () ->
                  reducer.sheetGuard().sheet().equals(Optional.of(sheet))
                      && reducer.sheetGuard().notReadyReason(MonotonicClock.nowMs()).isEmpty())
          .get();
    }

    private void close() {
      control.shutdownNow();
      transport.join().close();
    }
  }
}
