package org.sequoiareach.daemon.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.resolver.DefaultAddressResolverGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.sequoiareach.daemon.control.ControlLoop;
import org.sequoiareach.daemon.control.DecisionLog;
import org.sequoiareach.daemon.exchange.ProxyExchangeRegistry;
import org.sequoiareach.daemon.feed.StoreWatcher;
import org.sequoiareach.daemon.front.GatewayHttpServer;
import org.sequoiareach.daemon.measure.LatencyRegistry;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.daemon.operator.ReadinessFlag;
import org.sequoiareach.daemon.peer.MembershipBridge;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;
import org.sequoiareach.decision.admission.ImmediateAdmission;
import org.sequoiareach.decision.admission.LateBindingAdmission;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.dispatch.DispatchReducer;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.peer.LimitMessage;
import org.sequoiareach.peer.MembershipMessage;
import org.sequoiareach.peer.PeerLimits;
import org.sequoiareach.peer.PeerListener;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerSettings;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.peer.QuarantineMessage;
import org.sequoiareach.peer.StateMessage;
import org.sequoiareach.peer.TcpPeerTransport;
import org.sequoiareach.store.http.HttpCaller;
import org.sequoiareach.store.http.KeepAliveProbes;
import org.sequoiareach.store.http.ResponseMemory;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Composition root and lifecycle of a daemon that routes requests by a routing sheet.
 *
 * <p>The network code posts events to the {@link ControlLoop}. The {@link DispatchReducer} turns
 * each event into effects, and the handlers that are registered here perform them.
 */
public final class Gateway implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Gateway.class);

  /** One thread, because a VM has one core and more threads would only switch contexts. */
  private static final int TRAFFIC_THREADS = 1;

  /** Java's own transport, because loading the native one delays the start. */
  private static final boolean PREFER_NATIVE = false;

  /** Fits a value of one megabyte in base64 and the envelope around it. */
  private static final int MAX_STORE_RESPONSE_BYTES = 4 << 20;

  /** The part of the heap for responses of engines to the daemon's own calls, as a divisor. */
  private static final int ENGINE_RESPONSES_DIVISOR = 32;

  private static final int MAX_PLATFORM_CONNECTIONS = 32;
  private static final int CONNECT_TIMEOUT_MS = 600;

  /** Half of the shortest usual idle timeout, because the store closes idle connections. */
  private static final Duration PLATFORM_MAX_IDLE_TIME = Duration.ofMillis(900);

  /** A part of what the end of the process may take after the end of the drain. */
  private static final long MAX_CLOSE_MS = 200;

  private volatile GatewaySettings settings;
  private final long incarnation = System.currentTimeMillis();
  private final MetricRegistry metrics = new LatencyRegistry();
  private final LoopResources resources = LoopResources.create("traffic", TRAFFIC_THREADS, true);
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "feed"));
  private final ConnectionProvider platformPool =
      ConnectionProvider.builder("platform")
          .maxConnections(MAX_PLATFORM_CONNECTIONS)
          .maxIdleTime(PLATFORM_MAX_IDLE_TIME)
          .lifo()
          .build();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final ReadinessFlag readiness = new ReadinessFlag();
  private final ControlLoop controlLoop = new ControlLoop(metrics);
  private final PeerTransport transport;
  private final DispatchReducer reducer;
  private final GatewayHttpServer callerServer;
  private final GatewayStatusServers statusServers;
  private final Channel callerChannel;

  private Gateway(
      GatewaySettings settings, GatewayBinding binding, ServerSocketChannel callerSocket) {
    this.settings = Check.notNull(settings, "settings");
    Check.notNull(binding, "binding");
    final EventLoop loop = resources.onServer(PREFER_NATIVE).next();
    this.reducer =
        new DispatchReducer(
            settings.toDispatchSettings(incarnation),
            new MembershipSettings(
                settings.peerAddress(),
                settings.peerAddress(),
                settings.zone(),
                incarnation,
                incarnation),
            draw ->
                settings.lateBinding() ? new LateBindingAdmission(draw) : new ImmediateAdmission());
    CompletableFuture<PeerTransport> started = new CompletableFuture<>();
    MembershipBridge membership = new MembershipBridge(controlLoop, started);
    CompletableFuture<PeerStateBridge> peerState = new CompletableFuture<>();
    CompletableFuture<PeerLimitBridge> peerLimits = new CompletableFuture<>();
    CompletableFuture<PeerQuarantineBridge> quarantines = new CompletableFuture<>();
    this.transport =
        TcpPeerTransport.start(
            peerSettings(),
            new PeerMessageDispatcher(membership, peerState, peerLimits, quarantines));
    started.complete(transport);
    PeerMessageSender sender = new PeerMessageSender(transport);
    peerState.complete(new PeerStateBridge(controlLoop, sender));
    peerLimits.complete(new PeerLimitBridge(controlLoop, sender));
    quarantines.complete(new PeerQuarantineBridge(controlLoop, sender));
    final MemoryAccount memory = MemoryAccount.ofProcess();
    HttpCaller http = new HttpCaller(createClient(), MAX_STORE_RESPONSE_BYTES);
    ResponseMemory engineResponses =
        new ResponseMemory(Runtime.getRuntime().maxMemory() / ENGINE_RESPONSES_DIVISOR);
    metrics.register(
        "memory.held.engine.responses.bytes", (Gauge<Long>) engineResponses::heldBytes);
    TargetConnectionManager connections = new TargetConnectionManager(loop, resources);
    ProxyExchangeRegistry exchanges =
        new ProxyExchangeRegistry(
            binding.dialect(),
            connections,
            binding.createEngineControl(http.withResponseMemory(engineResponses)),
            controlLoop,
            metrics,
            loop,
            memory.responses());
    this.callerServer =
        new GatewayHttpServer(
            binding.dialect(), exchanges, metrics, loop, memory, settings.clientLimits());
    memory.register(metrics);
    metrics.registerAll(ProcessGauges.create());
    metrics.register("sheet.revision", (Gauge<Long>) reducer::sheetRevision);
    metrics.register("targets", (Gauge<Integer>) reducer::targetCount);
    metrics.register("zones.maintenance", (Gauge<Integer>) reducer::maintenanceZoneCount);
    metrics.register("targets.cold", (Gauge<Integer>) reducer::coldTargetCount);
    metrics.register("targets.limited", (Gauge<Integer>) reducer::limitCount);
    metrics.register("store.watching", (Gauge<Integer>) () -> reducer.isWatchingStore() ? 1 : 0);
    metrics.register(
        "store.age.ms", (Gauge<Long>) () -> reducer.holdingsAgeMs(MonotonicClock.nowMs()));
    metrics.register("quarantines", (Gauge<Integer>) reducer::quarantineCount);
    metrics.register("calls.waiting", (Gauge<Integer>) reducer::waitingCount);
    metrics.register("calls.admitted.late", (Gauge<Long>) reducer::admittedCount);
    metrics.register("calls.waited.ms", (Gauge<Long>) reducer::waitedMs);
    StoreWatcher storeWatcher =
        new StoreWatcher(
            binding.createStore(http, settings.storeAddress()),
            binding.layout(),
            controlLoop,
            timer);
    // Before the reducer decides on the access to the store, and so that the responses arrive while
    // the servers are created.
    storeWatcher.start();
    controlLoop.start(
        reducer,
        List.of(
            new DecisionLog(metrics),
            readiness,
            callerServer,
            exchanges,
            peerState.join(),
            peerLimits.join(),
            quarantines.join(),
            storeWatcher,
            effect -> handleLocalEffect(effect, membership)));
    postSeedPeers();
    this.callerChannel = callerServer.accept(callerSocket);
    this.statusServers = new GatewayStatusServers(settings, readiness, metrics, loop, memory);
  }

  /**
   * Starts a gateway. It accepts connections of callers at once and reports readiness as soon as it
   * knows a routing sheet and the targets.
   *
   * @param settings the settings
   * @param binding the formats and clients of the platform
   * @return the running gateway
   * @throws IOException if the address for callers is not available
   */
  public static Gateway start(GatewaySettings settings, GatewayBinding binding) throws IOException {
    // Bound first, so that connections wait for the rest of the start instead of being refused.
    ServerSocketChannel callerSocket =
        GatewayHttpServer.bind(GatewaySettings.resolve(settings.callerAddress()));
    Gateway gateway = new Gateway(settings, binding, callerSocket);
    LOGGER.info(
        new StringMapMessage()
            .with("decision", "start")
            .with("daemon", settings.name())
            .with("callers", settings.callerAddress())
            .with("peers", settings.peerAddress())
            .with("zone", settings.zone()));
    return gateway;
  }

  /**
   * Applies changed settings at runtime. Settings that need a restart are logged and ignored.
   *
   * @param changed the new settings
   */
  public void reload(GatewaySettings changed) {
    if (changed.equals(settings)) {
      return;
    }
    boolean applied = settings.canReloadTo(changed);
    LOGGER.info(
        new StringMapMessage()
            .with("decision", "reload")
            .with("daemon", settings.name())
            .with(
                "outcome",
                applied ? "applied" : "ignored: a changed address or zone requires a restart"));
    if (!applied) {
      return;
    }
    settings = changed;
    controlLoop.post(
        new DispatchEvent.SettingsChanged(
            MonotonicClock.nowMs(), changed.toDispatchSettings(incarnation)));
    postSeedPeers();
  }

  /** Starts a graceful stop, which completes the requests in progress. Returns immediately. */
  public void drain() {
    long nowMs = MonotonicClock.nowMs();
    callerServer.drain();
    controlLoop.post(new TimeEvent.DrainRequested(nowMs, nowMs + settings.drainMs()));
  }

  /**
   * Blocks until the gateway has stopped.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void awaitStop() throws InterruptedException {
    stopped.await();
  }

  /**
   * Blocks until the gateway accepts requests for the first time, or a deadline passes.
   *
   * @param deadlineMs the deadline, in milliseconds of the monotonic clock
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void awaitReady(long deadlineMs) throws InterruptedException {
    readiness.awaitFirstReady(deadlineMs);
  }

  @Override
  public void close() {
    LOGGER.info(new StringMapMessage().with("decision", "stop").with("daemon", settings.name()));
    callerServer.logProcessEnd();
    callerChannel.close();
    callerServer.closeIdle();
    // Before the control loop, which refuses the requests that have just arrived.
    callerServer.awaitClosed(MonotonicClock.nowMs() + MAX_CLOSE_MS);
    controlLoop.close();
    timer.shutdownNow();
    transport.close();
    statusServers.close();
    platformPool.dispose();
    resources.dispose();
    stopped.countDown();
  }

  private void handleLocalEffect(Effect effect, MembershipBridge membership) {
    if (effect instanceof Effect.Stop) {
      stopped.countDown();
    } else if (effect instanceof MembershipEffect.MembersChanged changed) {
      LOGGER.info(
          new StringMapMessage()
              .with("decision", "members")
              .with("reason", changed.changes().toString()));
    } else if (effect instanceof MembershipEffect sent) {
      membership.handle(sent);
    }
  }

  private void postSeedPeers() {
    long nowMs = MonotonicClock.nowMs();
    List<VmEntry> seeds =
        settings.seedAddresses().stream()
            .filter(seed -> !seed.equals(settings.peerAddress()))
            .map(seed -> new VmEntry(seed, VmKind.DAEMON, seed, settings.zone(), false, List.of()))
            .toList();
    controlLoop.post(new PlatformEvent.VmsListed(nowMs, nowMs, seeds));
  }

  private PeerSettings peerSettings() {
    InetSocketAddress address = GatewaySettings.resolve(settings.peerAddress());
    return new PeerSettings(
        settings.peerAddress(),
        incarnation,
        settings.zone(),
        address.getHostString(),
        address.getPort(),
        PeerLimits.DEFAULT);
  }

  private HttpClient createClient() {
    HttpClient client =
        HttpClient.create(platformPool)
            .runOn(resources, PREFER_NATIVE)
            // All addresses are IP addresses, so Netty's DNS client need not be loaded.
            .resolver(DefaultAddressResolverGroup.INSTANCE)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    for (var option : KeepAliveProbes.options().entrySet()) {
      client = withOption(client, option.getKey(), option.getValue());
    }
    return client;
  }

  @SuppressWarnings("unchecked")
  private static <T> HttpClient withOption(
      HttpClient client, ChannelOption<T> option, Object value) {
    return client.option(option, (T) value);
  }

  /**
   * Dispatches messages of peers by their type.
   *
   * @param membership receives membership messages
   * @param peerState receives state messages; completes after the transport has started, which
   *     itself needs this listener
   * @param peerLimits receives messages about rate limits; completes at the same time
   * @param quarantines receives messages about crashes and quarantines; completes at the same time
   */
  private record PeerMessageDispatcher(
      MembershipBridge membership,
      CompletableFuture<PeerStateBridge> peerState,
      CompletableFuture<PeerLimitBridge> peerLimits,
      CompletableFuture<PeerQuarantineBridge> quarantines)
      implements PeerListener {

    @Override
    public void onMessage(String fromDaemon, PeerMessage message) {
      if (message instanceof MembershipMessage member) {
        membership.onMessage(fromDaemon, member);
      } else if (message instanceof StateMessage state) {
        peerState.thenAccept(bridge -> bridge.onMessage(fromDaemon, state));
      } else if (message instanceof LimitMessage limit) {
        peerLimits.thenAccept(bridge -> bridge.onMessage(fromDaemon, limit));
      } else if (message instanceof QuarantineMessage quarantine) {
        quarantines.thenAccept(bridge -> bridge.onMessage(fromDaemon, quarantine));
      }
    }

    @Override
    public void onPeerLost(String daemonId) {
      membership.onPeerLost(daemonId);
    }
  }
}
