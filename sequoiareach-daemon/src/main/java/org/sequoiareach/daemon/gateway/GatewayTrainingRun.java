package org.sequoiareach.daemon.gateway;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/**
 * Training run for the class-data sharing archive: starts two gateways that are peers, a stub store
 * and a stub target on the loopback address, serves requests of all kinds and stops.
 *
 * <p>The build uses it to record the classes that are loaded on the way to the first responses,
 * which shortens each later start.
 */
public final class GatewayTrainingRun {

  private static final int CHANGE_BOUND_MS = 2_000;
  private static final int PORTS_PER_GATEWAY = 4;
  private static final int ROUNDS = 20;
  private static final long READY_TIMEOUT_MS = 10_000;
  private static final Duration STORE_DELAY = Duration.ofMillis(4);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

  /** Covers several ticks of the control loop and a few membership probes. */
  private static final long RUN_MS = 1_500;

  private GatewayTrainingRun() {}

  /**
   * Performs the training run.
   *
   * @param binding the formats and clients of the platform
   * @param script what the store, the target and the callers say
   * @throws IOException if no local ports are free
   * @throws InterruptedException if the thread is interrupted
   */
  public static void run(GatewayBinding binding, TrainingScript script)
      throws IOException, InterruptedException {
    DisposableServer target =
        HttpServer.create().host("127.0.0.1").port(0).handle(script::answerTarget).bindNow();
    String targetAddress = "127.0.0.1:" + target.port();
    DisposableServer store =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) ->
                    response.sendString(
                        Mono.just(script.answerStore(request.uri(), targetAddress))
                            .delayElement(STORE_DELAY)))
            .bindNow();
    List<String> first = findFreeAddresses();
    List<String> second = findFreeAddresses();
    List<String> seeds = List.of(first.get(2), second.get(2));
    String storeAddress = "127.0.0.1:" + store.port();
    try (Gateway one = Gateway.start(settings("one", first, seeds, storeAddress), binding);
        Gateway other = Gateway.start(settings("other", second, seeds, storeAddress), binding)) {
      one.awaitReady(MonotonicClock.nowMs() + READY_TIMEOUT_MS);
      other.awaitReady(MonotonicClock.nowMs() + READY_TIMEOUT_MS);
      for (int round = 0; round < ROUNDS; round++) {
        for (TrainingScript.Call call : script.calls()) {
          send(first.get(0), call, script.requestIdHeader(), round);
        }
        get(first.get(1));
        get(first.get(3));
      }
      TimeUnit.MILLISECONDS.sleep(RUN_MS);
    } finally {
      store.disposeNow();
      target.disposeNow();
    }
  }

  private static void send(String address, TrainingScript.Call call, String idHeader, int round) {
    HttpClient.create()
        .headers(
            headers -> {
              call.headers().forEach(headers::set);
              headers.set(idHeader, "training-" + round);
            })
        .post()
        .uri("http://" + address + call.path())
        .send((request, outbound) -> outbound.sendString(Mono.just(call.body())))
        .responseSingle((response, body) -> body.asString().defaultIfEmpty(""))
        .block(RESPONSE_TIMEOUT);
  }

  private static void get(String address) {
    HttpClient.create()
        .get()
        .uri("http://" + address + "/")
        .responseSingle((response, body) -> Mono.just(response.status().code()))
        .block(RESPONSE_TIMEOUT);
  }

  private static GatewaySettings settings(
      String name, List<String> addresses, List<String> seeds, String storeAddress) {
    return new GatewaySettings(
        name,
        "training",
        addresses.get(0),
        addresses.get(1),
        addresses.get(2),
        addresses.get(3),
        seeds,
        storeAddress,
        1,
        0,
        1,
        0,
        CHANGE_BOUND_MS,
        CHANGE_BOUND_MS);
  }

  private static List<String> findFreeAddresses() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      for (int i = 0; i < PORTS_PER_GATEWAY; i++) {
        ServerSocket socket = new ServerSocket(0);
        sockets.add(socket);
        addresses.add("127.0.0.1:" + socket.getLocalPort());
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return addresses;
  }
}
