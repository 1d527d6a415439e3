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
 * Starts a gateway and a store on the loopback address, sends it requests and stops it. The build
 * runs it to record the classes that a start needs, which shortens each later start.
 */
public final class GatewayRehearsal {

  private static final int ADDRESSES = 5;
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  /** Several ticks of the control thread and a few probes between daemons. */
  private static final long RUN_MS = 1_500;

  private GatewayRehearsal() {}

  /**
   * Runs the rehearsal.
   *
   * @param binding the forms that the platform uses
   * @param storeAnswer what the store answers to each call
   * @throws IOException if no ports are free
   * @throws InterruptedException if the thread is interrupted
   */
  public static void run(GatewayBinding binding, String storeAnswer)
      throws IOException, InterruptedException {
    List<String> addresses = freeAddresses();
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
            .handle((request, response) -> response.sendString(Mono.just(storeAnswer)))
            .bindNow();
    try (Gateway gateway = Gateway.start(settings, binding)) {
      for (String address : List.of(addresses.get(0), addresses.get(1), addresses.get(3))) {
        HttpClient.create()
            .get()
            .uri("http://" + address + "/")
            .responseSingle((response, body) -> Mono.just(response.status().code()))
            .block(ANSWER_TIMEOUT);
      }
      TimeUnit.MILLISECONDS.sleep(RUN_MS);
    } finally {
      store.disposeNow();
    }
  }

  private static List<String> freeAddresses() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      for (int i = 0; i < ADDRESSES; i++) {
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
