package org.sequoiareach.daemon;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.daemon.attempt.AttemptRunner;
import org.sequoiareach.daemon.caller.CallContext;
import org.sequoiareach.daemon.caller.CallerServer;
import org.sequoiareach.daemon.caller.KeyDirectory;
import org.sequoiareach.daemon.caller.RequestIds;
import org.sequoiareach.daemon.control.ControlLoop;
import org.sequoiareach.daemon.control.DecisionLog;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.operator.DaemonStatus;
import org.sequoiareach.daemon.operator.OperatorServer;
import org.sequoiareach.daemon.operator.ReadinessFlag;
import org.sequoiareach.daemon.peer.PeerBridge;
import org.sequoiareach.daemon.peer.PeerDirectory;
import org.sequoiareach.daemon.platform.ClaimGateway;
import org.sequoiareach.daemon.platform.LoadPoller;
import org.sequoiareach.daemon.platform.PlatformPoller;
import org.sequoiareach.daemon.settings.DaemonSettings;
import org.sequoiareach.daemon.target.EngineClient;
import org.sequoiareach.daemon.target.ServiceClient;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.placement.AdmissionSettings;
import org.sequoiareach.decision.policy.Policy;
import org.sequoiareach.decision.policy.StrategyFactory;
import org.sequoiareach.decision.reducer.DecisionReducer;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.decision.reducer.SoleOwnership;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.peer.PeerLimits;
import org.sequoiareach.peer.PeerSettings;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.peer.TcpPeerTransport;
import org.sequoiareach.platform.kv.EtcdKeyValueService;
import org.sequoiareach.platform.sheet.KeyValueSheetStore;
import org.sequoiareach.platform.time.MonotonicClock;
import org.sequoiareach.platform.vm.HttpVmList;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Wires the parts of a daemon and runs them until it is told to stop. */
public final class Daemon implements AutoCloseable {

  /** The most connections to one target; each running stream holds one. */
  private static final int CONNECTIONS_PER_TARGET = 2_000;

  private static final int TRAFFIC_THREADS = 4;
  private static final int PLATFORM_CONNECTIONS = 16;
  private static final Logger LOGGER = LogManager.getLogger(Daemon.class);

  private final DaemonSettings settings;
  private final MetricRegistry metrics = new MetricRegistry();
  private final LoopResources traffic = LoopResources.create("traffic", TRAFFIC_THREADS, true);
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "timer"));
  private final ConnectionProvider targetPool =
      ConnectionProvider.builder("targets").maxConnections(CONNECTIONS_PER_TARGET).build();
  private final ConnectionProvider platformPool =
      ConnectionProvider.builder("platform").maxConnections(PLATFORM_CONNECTIONS).build();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final DecisionReducer reducer;
  private final ControlLoop loop;
  private final PlatformPoller platform;
  private final LoadPoller loads;
  private final CallerServer callerServer;
  private final OperatorServer operatorServer;
  private final PeerBridge bridge;
  private final long incarnation = System.currentTimeMillis();
  private PeerTransport transport;
  private DisposableServer callers;
  private DisposableServer operators;

  /**
   * Creates a daemon that is not started.
   *
   * @param settings its settings
   */
  public Daemon(DaemonSettings settings) {
    this.settings = settings;
    this.reducer = createReducer(settings, settings.seed().orElse(incarnation));
    DecisionLog decisions = new DecisionLog(metrics);
    KeyDirectory keys = new KeyDirectory();
    ReadinessFlag readiness = new ReadinessFlag();
    EngineClient engines = new EngineClient(traffic, targetPool);
    ServiceClient services = new ServiceClient(traffic);
    HttpClient platformHttp = HttpClient.create(platformPool).runOn(traffic, false);
    EtcdKeyValueService keyValues =
        new EtcdKeyValueService(
            settings.keyValueService().addresses(),
            platformHttp,
            call -> metrics.meter("keyvalue." + call).mark());
    PeerDirectory peers = new PeerDirectory();
    this.bridge = new PeerBridge(this::post, peers);
    AttemptRunner attempts = new AttemptRunner(engines, services, bridge, this::post, metrics);
    bridge.setRunner(attempts);
    this.platform =
        new PlatformPoller(
            new KeyValueSheetStore(keyValues),
            new HttpVmList(List.of(settings.vmList().address()), platformHttp),
            this::post,
            timer);
    this.loads = new LoadPoller(engines, this::post, timer);
    EffectHandler stopper = this::stopWhenTold;
    this.loop =
        new ControlLoop(
            reducer,
            List.of(
                decisions,
                keys,
                readiness,
                peers,
                bridge,
                attempts,
                platform,
                loads,
                new ClaimGateway(new UnavailableClaims(), this::post),
                stopper),
            metrics);
    RequestIds ids = new RequestIds(settings.daemonId(), incarnation);
    CallContext calls = new CallContext(attempts, this::post);
    this.callerServer = new CallerServer(settings.callers(), keys, calls, ids, engines);
    this.operatorServer =
        new OperatorServer(readiness, () -> status(readiness), decisions, metrics);
  }

  /** Starts listening and reading the platform. */
  public void start() {
    transport = startTransport();
    bridge.setTransport(transport);
    loop.start();
    platform.start();
    loads.start();
    callers = callerServer.start(traffic, parse(settings.callers().address()));
    operators = operatorServer.start(traffic, parse(settings.operators().address()));
    LOGGER.info(
        "Daemon {} takes callers on {} and operators on {}.",
        settings.daemonId(),
        callers.address(),
        operators.address());
  }

  /** Asks the daemon to finish what is in progress and stop. Returns at once. */
  public void drain() {
    long nowMs = MonotonicClock.nowMs();
    post(new TimeEvent.DrainRequested(nowMs, nowMs + settings.drainDeadlineMs()));
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
   * Returns where callers are taken.
   *
   * @return the address bound
   */
  public InetSocketAddress callerAddress() {
    return (InetSocketAddress) callers.address();
  }

  /**
   * Returns where operators are answered.
   *
   * @return the address bound
   */
  public InetSocketAddress operatorAddress() {
    return (InetSocketAddress) operators.address();
  }

  /**
   * Returns where other daemons are taken.
   *
   * @return the IP number and port bound
   */
  public String peerAddress() {
    return transport.address();
  }

  @Override
  public void close() {
    loop.close();
    timer.shutdownNow();
    transport.close();
    callers.disposeNow();
    operators.disposeNow();
    targetPool.dispose();
    platformPool.dispose();
    traffic.dispose();
    stopped.countDown();
  }

  private PeerTransport startTransport() {
    InetSocketAddress address = parse(settings.peers().address());
    PeerSettings peerSettings =
        new PeerSettings(
            settings.daemonId(),
            incarnation,
            settings.zone(),
            address.getHostString(),
            address.getPort(),
            PeerLimits.DEFAULT);
    return TcpPeerTransport.start(peerSettings, bridge);
  }

  private void post(Event event) {
    loop.post(event);
  }

  private void stopWhenTold(Effect effect) {
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

  private static DecisionReducer createReducer(DaemonSettings settings, long seed) {
    Policy policy = Policy.fromLabel(settings.policy().name());
    StrategyFactory factory = new StrategyFactory(policy, AdmissionSettings.defaults());
    return new DecisionReducer(
        ReducerSettings.usual(settings.daemonId(), settings.zone(), seed),
        new SoleOwnership(settings.daemonId()),
        factory.createRouting(),
        new LeastOutstandingRouting(),
        targetId -> factory.createAdmission(targetId, RequestKind.GENERATION));
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }
}
