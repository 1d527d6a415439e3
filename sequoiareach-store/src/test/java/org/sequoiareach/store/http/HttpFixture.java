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

/** Runs one HTTP server on a free port of the loopback address, and a client for it. */
public final class HttpFixture implements AutoCloseable {

  private static final String CHUNK = "x".repeat(64 * 1024);

  private final AtomicInteger requests = new AtomicInteger();
  private final ConnectionProvider pool = ConnectionProvider.create("test", 8);
  private final DisposableServer server;

  private HttpFixture(BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
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

  /** Answers every call alike. */
  public static HttpFixture answering(int status, String body) {
    return new HttpFixture(
        (request, response) ->
            response.status(HttpResponseStatus.valueOf(status)).sendString(Mono.just(body)));
  }

  /** Answers every call with what the supplier gives then. */
  public static HttpFixture answering(Supplier<String> body) {
    return new HttpFixture((request, response) -> response.sendString(Mono.fromSupplier(body)));
  }

  /** Takes calls and never answers. */
  public static HttpFixture silent() {
    return new HttpFixture((request, response) -> Mono.never());
  }

  /** Answers with a body that never ends. */
  public static HttpFixture endless() {
    return new HttpFixture((request, response) -> response.sendString(Flux.just(CHUNK).repeat()));
  }

  /** Takes calls and closes their connections. */
  public static HttpFixture dropping() {
    return new HttpFixture(
        (request, response) -> {
          request.withConnection(connection -> connection.channel().close());
          return Mono.never();
        });
  }

  /** Returns the server's IP number and port. */
  public String address() {
    return "127.0.0.1:" + server.port();
  }

  /** Returns a client. */
  public HttpClient client() {
    return HttpClient.create(pool);
  }

  /** Returns how many calls arrived. */
  public int requests() {
    return requests.get();
  }

  @Override
  public void close() {
    pool.dispose();
    server.disposeNow(Duration.ofMillis(200));
  }
}
