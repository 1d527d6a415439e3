package org.sequoiareach.daemon.gateway;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/**
 * Training run for the class-data sharing archive: starts a gateway and a stub store on the
 * loopback address, sends requests to the gateway and stops it.
 *
 * <p>The build uses it to record the classes that are loaded at startup, which shortens each later
 * start.
 */
public final class GatewayTrainingRun {

  private static final int PORT_COUNT = 5;
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

  /** Covers several ticks of the control loop and a few membership probes. */
  private static final long RUN_MS = 1_500;

  private GatewayTrainingRun() {}

  /**
   * Performs the training run.
   *
   * @param binding the formats and clients of the platform
   * @param storeResponse the body with which the stub store answers every call
   * @throws IOException if no local ports are free
   * @throws InterruptedException if the thread is interrupted
   */
  public static void run(GatewayBinding binding, String storeResponse)
      throws IOException, InterruptedException {
    List<String> addresses = findFreeAddresses();
    GatewaySettings settings =
        new GatewaySettings(
            "rehearsal",
            "rehearsal",
            addresses.get(0),
            addresses.get(1),
            addresses.get(2),
            addresses.get(3),
            List.of(),
            addresses.get(4),
            1,
            0,
            1,
            0);
    DisposableServer store =
        HttpServer.create()
            .bindAddress(() -> GatewaySettings.resolve(addresses.get(4)))
            .handle((request, response) -> response.sendString(Mono.just(storeResponse)))
            .bindNow();
    try (Gateway gateway = Gateway.start(settings, binding)) {
      for (String address : List.of(addresses.get(0), addresses.get(1), addresses.get(3))) {
        HttpClient.create()
            .get()
            .uri("http://" + address + "/")
            .responseSingle((response, body) -> Mono.just(response.status().code()))
            .block(RESPONSE_TIMEOUT);
      }
      TimeUnit.MILLISECONDS.sleep(RUN_MS);
    } finally {
      store.disposeNow();
    }
  }

  private static List<String> findFreeAddresses() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      for (int i = 0; i < PORT_COUNT; i++) {
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
