package org.sequoiareach.daemon;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.daemon.attempt.AttemptRunner;
import org.sequoiareach.daemon.caller.CallerServer;
import org.sequoiareach.daemon.caller.PlatformDirectory;
import org.sequoiareach.daemon.caller.RequestIdGenerator;
import org.sequoiareach.daemon.caller.RequestSubmitter;
import org.sequoiareach.daemon.control.ControlLoop;
import org.sequoiareach.daemon.control.DecisionLog;
import org.sequoiareach.daemon.measure.LatencyRegistry;
import org.sequoiareach.daemon.operator.DaemonStatus;
import org.sequoiareach.daemon.operator.OperatorServer;
import org.sequoiareach.daemon.operator.ReadinessFlag;
import org.sequoiareach.daemon.peer.PeerBridge;
import org.sequoiareach.daemon.peer.PeerDirectory;
import org.sequoiareach.daemon.platform.BudgetLedgerWriter;
import org.sequoiareach.daemon.platform.ClaimHandler;
import org.sequoiareach.daemon.platform.DayTimer;
import org.sequoiareach.daemon.platform.LoadPoller;
import org.sequoiareach.daemon.platform.PlatformPoller;
import org.sequoiareach.daemon.settings.DaemonSettings;
import org.sequoiareach.daemon.target.EngineClient;
import org.sequoiareach.daemon.target.ServiceClient;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.reducer.DecisionReducer;
import org.sequoiareach.peer.PeerLimits;
import org.sequoiareach.peer.PeerSettings;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.peer.TcpPeerTransport;
import org.sequoiareach.store.claim.GroupCommitClaimRegistry;
import org.sequoiareach.store.kv.EtcdKeyValueService;
import org.sequoiareach.store.sheet.KeyValueSheetStore;
import org.sequoiareach.store.time.MonotonicClock;
import org.sequoiareach.store.vm.HttpVmList;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** A running daemon: creates its components, connects them and releases them when it stops. */
public final class Daemon implements AutoCloseable {

  /** The maximum number of connections to a target. Each running stream occupies one. */
  private static final int MAX_CONNECTIONS_PER_TARGET = 2_000;

  private static final int EVENT_LOOP_THREADS = 4;
  private static final int MAX_PLATFORM_CONNECTIONS = 16;
  private static final Logger LOGGER = LogManager.getLogger(Daemon.class);

  private final DaemonSettings settings;
  private final MetricRegistry metrics = new LatencyRegistry();
  private final LoopResources eventLoops =
      LoopResources.create("traffic", EVENT_LOOP_THREADS, true);
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "timer"));
  private final ConnectionProvider targetPool =
      ConnectionProvider.builder("targets").maxConnections(MAX_CONNECTIONS_PER_TARGET).build();
  private final ConnectionProvider platformPool =
      ConnectionProvider.builder("platform").maxConnections(MAX_PLATFORM_CONNECTIONS).build();
  private final Scheduler claimScheduler = Schedulers.newSingle("claims");
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final ControlLoop loop = new ControlLoop(metrics);
  private final PeerTransport transport;
  private final DecisionReducer reducer;
  private final DisposableServer callers;
  private final DisposableServer operators;

  private Daemon(DaemonSettings settings) {
    this.settings = settings;
    long incarnation = System.currentTimeMillis();
    final DecisionLog decisions = new DecisionLog(metrics);
    final PlatformDirectory directory = new PlatformDirectory();
    final ReadinessFlag readiness = new ReadinessFlag();
    EngineClient engines = new EngineClient(eventLoops, targetPool);
    HttpClient platformHttp = HttpClient.create(platformPool).runOn(eventLoops, false);
    final EtcdKeyValueService keyValues =
        new EtcdKeyValueService(
            settings.keyValueService().addresses(),
            platformHttp,
            call -> metrics.meter("keyvalue." + call).mark());
    PeerDirectory peers = new PeerDirectory();
    PeerBridge peerBridge = new PeerBridge(loop, peers);
    AttemptRunner attemptRunner =
        new AttemptRunner(engines, new ServiceClient(eventLoops), peerBridge, loop, metrics);
    peerBridge.setAttemptRunner(attemptRunner);
    this.transport = startTransport(settings, incarnation, peerBridge);
    peerBridge.setTransport(transport);
    this.reducer = new ReducerFactory(settings, incarnation).create(transport.address());
    PlatformPoller platformPoller =
        new PlatformPoller(
            new KeyValueSheetStore(keyValues),
            new HttpVmList(List.of(settings.vmList().address()), platformHttp),
            loop,
            timer);
    LoadPoller loadPoller = new LoadPoller(engines, loop, timer);
    loop.start(
        reducer,
        List.of(
            decisions,
            directory,
            readiness,
            peers,
            peerBridge,
            attemptRunner,
            platformPoller,
            loadPoller,
            new BudgetLedgerWriter(keyValues, loop),
            new ClaimHandler(new GroupCommitClaimRegistry(keyValues, claimScheduler), loop),
            this::handleStop));
    new DayTimer(Clock.systemUTC(), loop, timer).start();
    platformPoller.start();
    loadPoller.start();
    RequestIdGenerator ids = new RequestIdGenerator(settings.daemonId(), incarnation);
    RequestSubmitter submitter = new RequestSubmitter(attemptRunner, loop);
    this.callers =
        new CallerServer(settings.callers(), directory, submitter, ids, engines)
            .start(eventLoops, parseAddress(settings.callers().address()));
    this.operators =
        new OperatorServer(readiness, () -> status(readiness), decisions, metrics)
            .start(eventLoops, parseAddress(settings.operators().address()));
  }

  /**
   * Starts a daemon. It listens at once, reads the sheet and the VM list, and accepts requests of
   * callers as soon as it is ready.
   *
   * @param settings the settings of the daemon
   * @return the running daemon
   */
  public static Daemon start(DaemonSettings settings) {
    Daemon daemon = new Daemon(settings);
    LOGGER.info(
        "Daemon {} listens for callers on {}, for operators on {} and for peers on {}.",
        settings.daemonId(),
        daemon.callers.address(),
        daemon.operators.address(),
        daemon.transport.address());
    return daemon;
  }

  /**
   * Initiates a graceful stop: the daemon completes requests in progress and then stops. Returns
   * immediately.
   */
  public void drain() {
    long nowMs = MonotonicClock.nowMs();
    loop.post(new TimeEvent.DrainRequested(nowMs, nowMs + settings.drainDeadlineMs()));
  }

  /**
   * Waits until the daemon has stopped.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void awaitStop() throws InterruptedException {
    stopped.await();
  }

  /**
   * Returns the version of the sheet in use.
   *
   * @return the version; 0 if no sheet has been received yet
   */
  public long sheetVersion() {
    return reducer.sheetVersion();
  }

  /**
   * Returns the address of the listener for callers.
   *
   * @return the bound address
   */
  public InetSocketAddress callerAddress() {
    return (InetSocketAddress) callers.address();
  }

  /**
   * Returns the address of the listener for operators.
   *
   * @return the bound address
   */
  public InetSocketAddress operatorAddress() {
    return (InetSocketAddress) operators.address();
  }

  /**
   * Returns the address of the listener for other daemons.
   *
   * @return the bound IP address and port
   */
  public String peerAddress() {
    return transport.address();
  }

  @Override
  public void close() {
    loop.close();
    timer.shutdownNow();
    claimScheduler.dispose();
    transport.close();
    callers.disposeNow();
    operators.disposeNow();
    targetPool.dispose();
    platformPool.dispose();
    eventLoops.dispose();
    stopped.countDown();
  }

  private static PeerTransport startTransport(
      DaemonSettings settings, long incarnation, PeerBridge peerBridge) {
    InetSocketAddress address = parseAddress(settings.peers().address());
    PeerSettings peerSettings =
        new PeerSettings(
            settings.daemonId(),
            incarnation,
            settings.zone(),
            address.getHostString(),
            address.getPort(),
            PeerLimits.DEFAULT);
    return TcpPeerTransport.start(peerSettings, peerBridge);
  }

  private void handleStop(Effect effect) {
    if (effect instanceof Effect.Stop) {
      stopped.countDown();
    }
  }

  private DaemonStatus status(ReadinessFlag readiness) {
    return new DaemonStatus(
        settings.daemonId(),
        settings.zone(),
        ProgramVersion.VERSION,
        readiness.isReady(),
        readiness.reason(),
        reducer.sheetVersion(),
        reducer.requestsInProgress(),
        reducer.attemptsOwned());
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }
}
