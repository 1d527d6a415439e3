package org.sequoiareach.store.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.ConnectionProvider;

/** An HTTP server on a free port of the loopback address, with a client for it. */
public final class TestHttpServer implements AutoCloseable {

  private static final String CHUNK = "x".repeat(64 * 1024);

  private final AtomicInteger requests = new AtomicInteger();
  private final ConnectionProvider pool = ConnectionProvider.create("test", 8);
  private final DisposableServer server;

  private TestHttpServer(
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) -> {
                  requests.incrementAndGet();
                  return handler.apply(request, response);
                })
            .bindNow();
  }

  /** Creates a server that sends the same response to every request. */
  public static TestHttpServer answering(int status, String body) {
    return new TestHttpServer(
        (request, response) ->
            response.status(HttpResponseStatus.valueOf(status)).sendString(Mono.just(body)));
  }

  /** Creates a server that responds with the body currently supplied. */
  public static TestHttpServer answering(Supplier<String> body) {
    return new TestHttpServer((request, response) -> response.sendString(Mono.fromSupplier(body)));
  }

  /** Creates a server that accepts requests and never responds. */
  public static TestHttpServer silent() {
    return new TestHttpServer((request, response) -> Mono.never());
  }

  /** Creates a server that responds with an endless body. */
  public static TestHttpServer endless() {
    return new TestHttpServer(
        (request, response) -> response.sendString(Flux.just(CHUNK).repeat()));
  }

  /** Creates a server that accepts requests and closes their connections. */
  public static TestHttpServer dropping() {
    return new TestHttpServer(
        (request, response) -> {
          request.withConnection(connection -> connection.channel().close());
          return Mono.never();
        });
  }

  /** Returns the IP address and port of the server. */
  public String address() {
    return "127.0.0.1:" + server.port();
  }

  /** Returns a client of the server. */
  public HttpClient client() {
    return HttpClient.create(pool);
  }

  /** Returns the number of requests received. */
  public int requests() {
    return requests.get();
  }

  @Override
  public void close() {
    pool.dispose();
    server.disposeNow(Duration.ofMillis(200));
  }
}
