package org.sequoiareach.standin.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.sequoiareach.standin.fault.FaultCountdown;
import org.sequoiareach.standin.fault.FaultSwitches;
import org.sequoiareach.standin.server.AbstractHttpStandin;
import org.sequoiareach.standin.server.Exchanges;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Simulates an HTTP service without idempotency checks.
 *
 * <p>Executes any method and path, and responds with a JSON object that echoes the call and its
 * sequence number ({@code execution}). The record counts the executions per idempotency key.
 * Thread-safe.
 */
public final class ServiceStandin extends AbstractHttpStandin<ServiceFaults> {

  private final ServiceSettings settings;
  private final FaultCountdown failBeforeRun = new FaultCountdown();
  private final FaultCountdown dropAfterRun = new FaultCountdown();
  private final FaultCountdown refuse = new FaultCountdown();
  private final Map<String, Long> runsByKey = new HashMap<>();
  private final List<ServiceCall> calls = new ArrayList<>();
  private long executions;
  private long failedBeforeRun;
  private long droppedAfterRun;

  /**
   * Creates a stand-in without starting it.
   *
   * @param settings the settings
   */
  public ServiceStandin(ServiceSettings settings) {
    super(settings.listen(), new FaultSwitches<>(ServiceFaults.class, ServiceFaults.NONE));
    this.settings = settings;
  }

  @Override
  public synchronized ServiceRecord record() {
    return new ServiceRecord(
        settings.id(), executions, failedBeforeRun, droppedAfterRun, runsByKey, calls);
  }

  @Override
  protected void onFaults(ServiceFaults switches) {
    failBeforeRun.set(switches.failBeforeRun());
    dropAfterRun.set(switches.dropAfterRun());
    refuse.set(switches.refuse());
  }

  @Override
  protected Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return Exchanges.bodyText(request)
        .flatMap(
            body -> delay().then(Mono.defer(() -> Mono.from(respond(request, response, body)))));
  }

  private Mono<?> delay() {
    long delayMs = faults().delayMs();
    return delayMs == 0 ? Mono.empty() : Mono.delay(Duration.ofMillis(delayMs));
  }

  private Publisher<Void> respond(
      HttpServerRequest request, HttpServerResponse response, String body) {
    if (failBeforeRun.tryConsume()) {
      countFailedBeforeRun();
      return Exchanges.drop(request);
    }
    if (refuse.tryConsume()) {
      countFailedBeforeRun();
      return Exchanges.error(response, 503, "rejected by a fault switch");
    }
    ServiceCall call = execute(request, body);
    if (dropAfterRun.tryConsume()) {
      countDroppedAfterRun();
      return Exchanges.drop(request);
    }
    int status = faults().status() == 0 ? 200 : faults().status();
    return Exchanges.json(
        response, status, new ServiceResponse(settings.name(), settings.id(), call));
  }

  private synchronized void countFailedBeforeRun() {
    failedBeforeRun++;
  }

  private synchronized void countDroppedAfterRun() {
    droppedAfterRun++;
  }

  private synchronized ServiceCall execute(HttpServerRequest request, String body) {
    executions++;
    Optional<String> key = header(request, "Idempotency-Key");
    key.ifPresent(name -> runsByKey.merge(name, 1L, Long::sum));
    ServiceCall call =
        new ServiceCall(
            executions,
            request.method().name(),
            request.uri(),
            key,
            header(request, "X-Request-Id"),
            body);
    if (calls.size() < settings.recordedCalls()) {
      calls.add(call);
    }
    return call;
  }

  private static Optional<String> header(HttpServerRequest request, String name) {
    return Optional.ofNullable(request.requestHeaders().get(name));
  }
}
