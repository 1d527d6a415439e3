package org.sequoiareach.store.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
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
 * HTTP client whose calls are sent at most once, have a deadline and a bounded response size.
 * Thread-safe.
 *
 * <p>Failures are reported as {@link HttpCallException}, which tells whether the request may have
 * left this process.
 */
public final class HttpCaller {

  /** Ensures that a call is either sent or reported as not sent, never both. */
  private enum SendState {
    WAITING,
    SENT,
    ABANDONED
  }

  /** A message of the HTTP decoder quotes what a server sent. */
  private static final int MAX_DESCRIPTION_CHARACTERS = 256;

  private final HttpClient http;
  private final int maxBodyBytes;
  private final ResponseMemory memory;

  /**
   * Creates a caller.
   *
   * @param http the underlying client, which provides connections and threads; its retries are
   *     disabled
   * @param maxBodyBytes the maximum size of a response body, or of a line of a streamed one; the
   *     call fails if it is exceeded
   */
  public HttpCaller(HttpClient http, int maxBodyBytes) {
    this(
        ResponseHardening.applyTo(Check.notNull(http, "http")).disableRetry(true),
        maxBodyBytes,
        ResponseMemory.unlimited());
  }

  private HttpCaller(HttpClient http, int maxBodyBytes, ResponseMemory memory) {
    Check.inRange(maxBodyBytes, 1, Integer.MAX_VALUE, "maxBodyBytes");
    this.http = http;
    this.maxBodyBytes = maxBodyBytes;
    this.memory = memory;
  }

  /**
   * Creates a caller that uses the same connections and has another size limit.
   *
   * @param maxBytes the maximum size of a response body, or of a line of a streamed one
   * @return the caller
   */
  public HttpCaller withMaxBodyBytes(int maxBytes) {
    return new HttpCaller(http, maxBytes, memory);
  }

  /**
   * Creates a caller that uses the same connections and whose responses, except streamed ones,
   * share a limit with those of other calls.
   *
   * @param shared the account of the memory for response bodies; a call fails if it is exceeded
   * @return the caller
   */
  public HttpCaller withResponseMemory(ResponseMemory shared) {
    return new HttpCaller(http, maxBodyBytes, Check.notNull(shared, "shared"));
  }

  /**
   * Sends a GET request.
   *
   * @param address the IP address and port of the server
   * @param path the path, including the query
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return the response, with any status
   */
  public Mono<HttpCallResponse> get(String address, String path, long deadlineMs) {
    return call(HttpMethod.GET, address, path, "", deadlineMs);
  }

  /**
   * Sends a POST request with a JSON body.
   *
   * @param address the IP address and port of the server
   * @param path the path, including the query
   * @param json the body
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return the response, with any status
   */
  public Mono<HttpCallResponse> post(String address, String path, String json, long deadlineMs) {
    return call(HttpMethod.POST, address, path, json, deadlineMs);
  }

  /**
   * Sends a DELETE request.
   *
   * @param address the IP address and port of the server
   * @param path the path, including the query
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return the response, with any status
   */
  public Mono<HttpCallResponse> delete(String address, String path, long deadlineMs) {
    return call(HttpMethod.DELETE, address, path, "", deadlineMs);
  }

  /**
   * Sends a POST request and streams the lines of the response.
   *
   * @param address the IP address and port of the server
   * @param path the path
   * @param json the body
   * @return the lines as they arrive; the stream has no deadline
   */
  public Flux<String> postForLines(String address, String path, String json) {
    return Flux.defer(
        () -> {
          AtomicReference<SendState> state = new AtomicReference<>(SendState.WAITING);
          return request(HttpMethod.POST, address, path, json, state)
              .response((response, body) -> toLines(address, path, response, body))
              .onErrorMap(e -> toException(HttpMethod.POST, address, path, state, e));
        });
  }

  private Mono<HttpCallResponse> call(
      HttpMethod method, String address, String path, String body, long deadlineMs) {
    return Mono.defer(
        () -> {
          AtomicReference<SendState> state = new AtomicReference<>(SendState.WAITING);
          return request(method, address, path, body, state)
              .response((response, content) -> collect(response, content))
              .single()
              .timeout(MonotonicClock.until(deadlineMs))
              .onErrorMap(e -> toException(method, address, path, state, e));
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
        .send((request, outbound) -> sendOnce(request, outbound, bytes, state));
  }

  private static Publisher<Void> sendOnce(
      HttpClientRequest request,
      NettyOutbound outbound,
      byte[] bytes,
      AtomicReference<SendState> state) {
    // A call that has been reported as not sent must not be sent afterwards.
    if (!state.compareAndSet(SendState.WAITING, SendState.SENT)) {
      return Mono.error(new IllegalStateException("the call was abandoned before it was sent"));
    }
    return bytes.length == 0 ? outbound : outbound.sendByteArray(Mono.just(bytes));
  }

  private Mono<HttpCallResponse> collect(HttpClientResponse response, ByteBufFlux content) {
    return Mono.using(
        () -> new ResponseBuffer(maxBodyBytes, memory),
        buffer ->
            content
                .asByteArray()
                .doOnNext(buffer::append)
                .then(
                    Mono.fromSupplier(
                        () ->
                            new HttpCallResponse(
                                response.status().code(),
                                buffer.text(),
                                response.responseHeaders()))),
        ResponseBuffer::release);
  }

  private Publisher<String> toLines(
      String address, String path, HttpClientResponse response, ByteBufFlux content) {
    if (response.status().code() != 200) {
      return Mono.error(
          new IllegalStateException(
              "unexpected status " + response.status().code() + " from " + address));
    }
    LineSplitter splitter = new LineSplitter(maxBodyBytes);
    return content.asByteArray().concatMapIterable(splitter::split);
  }

  private static HttpCallException toException(
      HttpMethod method,
      String address,
      String path,
      AtomicReference<SendState> state,
      Throwable cause) {
    boolean sent = !state.compareAndSet(SendState.WAITING, SendState.ABANDONED);
    String reason =
        cause instanceof TimeoutException ? "no response by the deadline" : describe(cause);
    return new HttpCallException(
        method + " " + path + " at " + address + " failed: " + reason, sent, cause);
  }

  private static String describe(Throwable cause) {
    String message = cause.getMessage();
    if (message == null) {
      return cause.getClass().getSimpleName();
    }
    return message.substring(0, Math.min(message.length(), MAX_DESCRIPTION_CHARACTERS));
  }
}
