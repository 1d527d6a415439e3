package org.sequoiareach.store.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.Check;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Makes single HTTP calls: each is sent at most once, ends by its deadline, and its answer is
 * bounded. Thread-safe.
 *
 * <p>Every failure is an {@link HttpCallException} that says whether the request may have left.
 */
public final class HttpCaller {

  private enum SendState {
    WAITING,
    SENT,
    ABANDONED
  }

  private final HttpClient http;
  private final int maxBodyBytes;

  /**
   * Creates a caller.
   *
   * @param http the client whose connections and threads are used; its own retries are switched off
   * @param maxBodyBytes the longest body that is read; a longer one fails the call
   */
  public HttpCaller(HttpClient http, int maxBodyBytes) {
    Check.inRange(maxBodyBytes, 1, Integer.MAX_VALUE, "maxBodyBytes");
    this.http = Check.notNull(http, "http").disableRetry(true);
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Makes a GET call.
   *
   * @param address IP number and port
   * @param path the path with its query
   * @param deadlineMs when to give up
   * @return the answer, whatever its status
   */
  public Mono<HttpAnswer> get(String address, String path, long deadlineMs) {
    return call(HttpMethod.GET, address, path, "", deadlineMs);
  }

  /**
   * Makes a POST call with a JSON body.
   *
   * @param address IP number and port
   * @param path the path with its query
   * @param json the body
   * @param deadlineMs when to give up
   * @return the answer, whatever its status
   */
  public Mono<HttpAnswer> post(String address, String path, String json, long deadlineMs) {
    return call(HttpMethod.POST, address, path, json, deadlineMs);
  }

  /**
   * Makes a DELETE call.
   *
   * @param address IP number and port
   * @param path the path with its query
   * @param deadlineMs when to give up
   * @return the answer, whatever its status
   */
  public Mono<HttpAnswer> delete(String address, String path, long deadlineMs) {
    return call(HttpMethod.DELETE, address, path, "", deadlineMs);
  }

  /**
   * Makes a POST call whose answer is a stream of lines.
   *
   * @param address IP number and port
   * @param path the path
   * @param json the body
   * @return the lines as they come; it has no deadline of its own
   */
  public Flux<String> postForLines(String address, String path, String json) {
    return Flux.defer(
        () -> {
          AtomicReference<SendState> state = new AtomicReference<>(SendState.WAITING);
          return request(HttpMethod.POST, address, path, json, state)
              .response((response, body) -> lines(address, path, response, body))
              .onErrorMap(e -> failure(HttpMethod.POST, address, path, state, e));
        });
  }

  private Mono<HttpAnswer> call(
      HttpMethod method, String address, String path, String body, long deadlineMs) {
    return Mono.defer(
        () -> {
          AtomicReference<SendState> state = new AtomicReference<>(SendState.WAITING);
          return request(method, address, path, body, state)
              .response((response, content) -> collect(response, content))
              .single()
              .timeout(MonotonicClock.until(deadlineMs))
              .onErrorMap(e -> failure(method, address, path, state, e));
        });
  }

  private HttpClient.ResponseReceiver<?> request(
      HttpMethod method,
      String address,
      String path,
      String body,
      AtomicReference<SendState> state) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return http.headers(
            headers -> {
              if (bytes.length > 0) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
              }
            })
        .request(method)
        .uri("http://" + address + path)
        .send((request, outbound) -> send(request, outbound, bytes, state));
  }

  private static Publisher<Void> send(
      HttpClientRequest request,
      NettyOutbound outbound,
      byte[] bytes,
      AtomicReference<SendState> state) {
    // A call already reported as not sent must not leave afterwards.
    if (!state.compareAndSet(SendState.WAITING, SendState.SENT)) {
      return Mono.error(new IllegalStateException("The call was given up before it was sent."));
    }
    return bytes.length == 0 ? outbound : outbound.sendByteArray(Mono.just(bytes));
  }

  private Mono<HttpAnswer> collect(HttpClientResponse response, ByteBufFlux content) {
    return content
        .asByteArray()
        .collect(ByteArrayOutputStream::new, (buffer, bytes) -> append(buffer, bytes))
        .map(
            buffer ->
                new HttpAnswer(response.status().code(), buffer.toString(StandardCharsets.UTF_8)));
  }

  private Publisher<String> lines(
      String address, String path, HttpClientResponse response, ByteBufFlux content) {
    if (response.status().code() != 200) {
      return Mono.error(
          new IllegalStateException("status " + response.status().code() + " from " + address));
    }
    LineSplitter splitter = new LineSplitter(maxBodyBytes);
    return content.asByteArray().concatMapIterable(splitter::split);
  }

  private void append(ByteArrayOutputStream buffer, byte[] bytes) {
    if (buffer.size() + (long) bytes.length > maxBodyBytes) {
      throw new IllegalStateException("the answer is longer than " + maxBodyBytes + " bytes");
    }
    buffer.writeBytes(bytes);
  }

  private static HttpCallException failure(
      HttpMethod method,
      String address,
      String path,
      AtomicReference<SendState> state,
      Throwable cause) {
    boolean sent = !state.compareAndSet(SendState.WAITING, SendState.ABANDONED);
    String why = cause instanceof TimeoutException ? "no answer by the deadline" : text(cause);
    return new HttpCallException(
        method + " " + path + " at " + address + " failed: " + why, sent, cause);
  }

  private static String text(Throwable cause) {
    String message = cause.getMessage();
    return message == null ? cause.getClass().getSimpleName() : message;
  }
}
