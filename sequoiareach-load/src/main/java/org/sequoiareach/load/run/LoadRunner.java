package org.sequoiareach.load.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations;
import org.sequoiareach.load.settings.GenerationClass;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.Targets;
import org.sequoiareach.load.trace.Arrival;
import org.sequoiareach.load.trace.TraceGenerator;
import org.sequoiareach.model.Check;
import org.sequoiareach.store.http.ResponseHardening;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Runs an open-loop load test: each request is sent at its scheduled time regardless of outstanding
 * responses, and its latency is measured from that time.
 */
public final class LoadRunner implements AutoCloseable {

  private static final int THREADS = 3;
  private static final int MAX_CONNECTIONS = 20_000;
  private static final long MAX_CONNECTION_IDLE_MS = 2_000;
  private static final long START_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int RUN_ID_RADIX = 36;

  private final LoopResources loops;
  private final ConnectionProvider connections;
  private final HttpClient client;

  /** Creates a runner with its own connection pool and event loop threads. */
  public LoadRunner() {
    loops = LoopResources.create("load", 1, THREADS, true, false);
    connections =
        ConnectionProvider.builder("load")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(-1)
            .maxIdleTime(Duration.ofMillis(MAX_CONNECTION_IDLE_MS))
            .build();
    client =
        ResponseHardening.applyTo(HttpClient.create(connections))
            .runOn(loops, false)
            .disableRetry(true);
  }

  /**
   * Runs a load test and waits for its end.
   *
   * @param settings the settings of the run
   * @return the outcome
   * @throws IllegalArgumentException if a class has no callers
   * @throws InterruptedException if the thread is interrupted; requests in progress are not
   *     cancelled
   */
  public RunOutcome run(RunSettings settings) throws InterruptedException {
    Check.notNull(settings, "settings").requireCallers();
    List<Arrival> trace = TraceGenerator.generate(settings);
    Queue<RequestResult> results = new ConcurrentLinkedQueue<>();
    CountDownLatch pending = new CountDownLatch(trace.size());
    String runId = Long.toString(System.nanoTime() & Long.MAX_VALUE, RUN_ID_RADIX);
    long startNs = System.nanoTime() + START_DELAY_NS;
    long latestSendNs = 0;
    for (Arrival arrival : trace) {
      OutgoingRequest request = toRequest(arrival, startNs, runId, settings);
      latestSendNs = Math.max(latestSendNs, waitUntil(request.scheduledNs()));
      senderOf(arrival)
          .send(request)
          .doFinally(signal -> pending.countDown())
          .subscribe(results::add);
    }
    pending.await(settings.drainMs(), TimeUnit.MILLISECONDS);
    long elapsedNs = System.nanoTime() - startNs;
    List<RequestResult> ordered = new ArrayList<>(results);
    ordered.sort(Comparator.comparingInt(result -> result.arrival().number()));
    int offered =
        (int) trace.stream().filter(item -> RunOutcome.isMeasured(item, settings)).count();
    return new RunOutcome(
        settings, offered, ordered, readRecords(settings), elapsedNs, latestSendNs);
  }

  @Override
  public void close() {
    connections.dispose();
    loops.dispose();
  }

  private Optional<TargetObservations> readRecords(RunSettings settings) {
    if (settings.targets().equals(Targets.NONE)) {
      return Optional.empty();
    }
    return new RecordReader(client).read(settings.targets()).blockOptional();
  }

  private RequestSender senderOf(Arrival arrival) {
    return arrival.requestClass() instanceof GenerationClass
        ? new GenerationSender(client)
        : new ServiceCallSender(client);
  }

  private static OutgoingRequest toRequest(
      Arrival arrival, long startNs, String runId, RunSettings settings) {
    List<String> own = arrival.requestClass().callers();
    List<String> callers = own.isEmpty() ? settings.callers() : own;
    List<String> rotated = new ArrayList<>();
    for (int i = 0; i < callers.size(); i++) {
      rotated.add(callers.get((arrival.number() + i) % callers.size()));
    }
    String id = "r" + runId + "-" + arrival.number() + "x";
    return new OutgoingRequest(id, arrival, startNs + arrival.atNs(), rotated);
  }

  /** Waits until a point in time and returns how late it woke up, in nanoseconds. */
  private static long waitUntil(long deadlineNs) throws InterruptedException {
    long remainingNs = deadlineNs - System.nanoTime();
    while (remainingNs > 0) {
      LockSupport.parkNanos(remainingNs);
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
      remainingNs = deadlineNs - System.nanoTime();
    }
    return -remainingNs;
  }
}
