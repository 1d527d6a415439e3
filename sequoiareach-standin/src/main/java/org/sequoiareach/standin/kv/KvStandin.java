package org.sequoiareach.standin.kv;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.standin.fault.FaultCountdown;
import org.sequoiareach.standin.fault.FaultSwitches;
import org.sequoiareach.standin.server.AbstractHttpStandin;
import org.sequoiareach.standin.server.Exchanges;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Simulates the platform's key-value service with a subset of the etcd v3 JSON API: {@code
 * /v3/kv/range}, {@code put}, {@code deleterange}, {@code txn}, {@code /v3/lease/grant}, {@code
 * keepalive}, {@code revoke} and {@code /v3/watch}.
 *
 * <p>Requests with past revisions, sort orders or nested transactions are rejected; compaction is
 * not supported. Thread-safe.
 */
public final class KvStandin extends AbstractHttpStandin<KvFaults> {

  private static final Duration EXPIRY_PERIOD = Duration.ofMillis(20);
  private static final Set<String> WRITES =
      Set.of("put", "deleterange", "txn", "grant", "keepalive", "revoke");
  private static final Set<String> LOSABLE_RESPONSES =
      Set.of("put", "deleterange", "txn", "grant", "revoke");

  private final KvSettings settings;
  private final KvStore store = new KvStore();
  private final RateLimiter allCalls = new RateLimiter();
  private final RateLimiter reads = new RateLimiter();
  private final RateLimiter writes = new RateLimiter();
  private final FaultCountdown loseResponse = new FaultCountdown();
  private final Map<String, Long> calls = new ConcurrentHashMap<>();
  private final Set<FluxSink<ObjectNode>> watches = ConcurrentHashMap.newKeySet();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong lostResponses = new AtomicLong();
  private Disposable expiry;

  /**
   * Creates a stand-in without starting it.
   *
   * @param settings the settings
   */
  public KvStandin(KvSettings settings) {
    super(settings.listen(), new FaultSwitches<>(KvFaults.class, KvFaults.NONE));
    this.settings = settings;
    reads.setRate(settings.readsPerSecond(), nowMs());
    writes.setRate(settings.writesPerSecond(), nowMs());
  }

  @Override
  public KvRecord record() {
    return new KvRecord(
        store.revision(),
        store.keyCount(),
        store.leaseCount(),
        store.watchCount(),
        new TreeMap<>(calls),
        refused.get(),
        lostResponses.get());
  }

  @Override
  protected void onFaults(KvFaults switches) {
    loseResponse.set(switches.loseAnswerAfterWrite());
    allCalls.setRate(switches.ratePerSecond(), nowMs());
    if (switches.down() || switches.watchCut()) {
      watches.forEach(
          sink -> sink.error(new IllegalStateException("watch closed by a fault switch")));
    }
  }

  @Override
  protected void onStart() {
    expiry = Flux.interval(EXPIRY_PERIOD).subscribe(tick -> store.expireLeases(nowMs()));
  }

  @Override
  protected void onClose() {
    expiry.dispose();
  }

  @Override
  protected Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    if (faults().down()) {
      return Exchanges.drop(request);
    }
    String path = request.fullPath();
    boolean known = path.startsWith("/v3/") && request.method().name().equals("POST");
    if (!known) {
      return Exchanges.error(
          response, 404, "No handler for " + request.method() + " " + path + ".");
    }
    String kind = path.substring(path.lastIndexOf('/') + 1);
    if (path.equals("/v3/watch")) {
      // The body of a watch request may stay open, so it is parsed as soon as one JSON object is
      // complete.
      return request
          .receive()
          .asString()
          .scan(String::concat)
          .filter(KvStandin::isComplete)
          .next()
          .flatMap(text -> Mono.from(watch(Exchanges.parse(text), request, response)));
    }
    return Exchanges.bodyText(request)
        .flatMap(text -> delay().then(Mono.defer(() -> call(kind, text, request, response))));
  }

  private Mono<?> delay() {
    long delayMs = faults().delayMs();
    return delayMs == 0 ? Mono.empty() : Mono.delay(Duration.ofMillis(delayMs));
  }

  private Mono<Void> call(
      String kind, String text, HttpServerRequest request, HttpServerResponse response) {
    if (faults().down()) {
      return Mono.from(Exchanges.drop(request));
    }
    try {
      checkRateLimits(kind);
      ObjectNode reply = apply(kind, Exchanges.parse(text));
      calls.merge(kind, 1L, Long::sum);
      if (LOSABLE_RESPONSES.contains(kind) && loseResponse.tryConsume()) {
        lostResponses.incrementAndGet();
        return Mono.from(Exchanges.drop(request));
      }
      return Mono.from(Exchanges.json(response, 200, reply));
    } catch (KvApiException e) {
      return sendError(response, e);
    }
  }

  private ObjectNode apply(String kind, JsonNode node) {
    return switch (kind) {
      case "range" -> applySingle(KvCodec.readRange(node));
      case "put" -> applySingle(checkSize(KvCodec.readPut(node)));
      case "deleterange" -> applySingle(KvCodec.readDelete(node));
      case "txn" -> applyTxn(KvCodec.readTxn(node));
      case "grant" -> grant(node);
      case "keepalive" -> keepAlive(KvCodec.readLong(node, "ID"));
      case "revoke" -> revoke(KvCodec.readLong(node, "ID"));
      default ->
          throw new KvApiException(KvApiException.Kind.UNIMPLEMENTED, "unknown call " + kind);
    };
  }

  private ObjectNode applySingle(Operation operation) {
    TxnResult result = store.commit(Txn.of(operation), nowMs());
    return KvCodec.writeResult(result.results().get(0), result.revision());
  }

  private ObjectNode applyTxn(Txn txn) {
    txn.success().forEach(this::checkSize);
    txn.failure().forEach(this::checkSize);
    return KvCodec.writeTxn(store.commit(txn, nowMs()));
  }

  private Operation checkSize(Operation operation) {
    if (operation instanceof Operation.Put put && put.value().length() > settings.maxValueBytes()) {
      throw new KvApiException(KvApiException.Kind.INVALID_ARGUMENT, "request is too large");
    }
    return operation;
  }

  private ObjectNode grant(JsonNode node) {
    long ttlSeconds = KvCodec.readLong(node, "TTL");
    long id = store.grantLease(KvCodec.readLong(node, "ID"), ttlSeconds, nowMs());
    ObjectNode reply = KvCodec.responseWithHeader(store.revision());
    KvCodec.putNumber(reply, "ID", id);
    KvCodec.putNumber(reply, "TTL", ttlSeconds);
    return reply;
  }

  private ObjectNode keepAlive(long id) {
    long ttlSeconds = store.keepLeaseAlive(id, nowMs());
    ObjectNode reply = KvCodec.responseWithHeader(store.revision());
    KvCodec.putNumber(reply, "ID", id);
    KvCodec.putNumber(reply, "TTL", ttlSeconds);
    return KvCodec.streamResponse(reply);
  }

  private ObjectNode revoke(long id) {
    store.revokeLease(id, nowMs());
    return KvCodec.responseWithHeader(store.revision());
  }

  private Publisher<Void> watch(
      JsonNode node, HttpServerRequest request, HttpServerResponse response) {
    if (faults().watchCut()) {
      return Exchanges.drop(request);
    }
    JsonNode create = KvCodec.field(node, "create_request");
    try {
      checkRateLimits("watch");
      KeyRange range = KvCodec.readKeyRange(create);
      long fromRevision = KvCodec.readLong(create, "start_revision");
      calls.merge("watch", 1L, Long::sum);
      Flux<ObjectNode> lines = Flux.create(sink -> openWatch(sink, range, fromRevision));
      Flux<ByteBuf> sent =
          lines.map(KvStandin::toJsonLine).onErrorResume(e -> Exchanges.dropStream(request));
      return response.header("content-type", "application/json").send(sent, buffer -> true);
    } catch (KvApiException e) {
      return sendError(response, e);
    }
  }

  private void openWatch(FluxSink<ObjectNode> sink, KeyRange range, long fromRevision) {
    ObjectNode created = KvCodec.responseWithHeader(store.revision()).put("created", true);
    sink.next(KvCodec.streamResponse(created));
    watches.add(sink);
    Runnable close =
        store.watch(range, fromRevision, batch -> sink.next(KvCodec.writeWatchBatch(batch)));
    sink.onDispose(
        () -> {
          watches.remove(sink);
          close.run();
        });
  }

  private void checkRateLimits(String kind) {
    RateLimiter limiter = WRITES.contains(kind) ? writes : reads;
    if (!allCalls.tryAcquire(nowMs()) || !limiter.tryAcquire(nowMs())) {
      refused.incrementAndGet();
      throw new KvApiException(KvApiException.Kind.RESOURCE_EXHAUSTED, "too many requests");
    }
  }

  private static Mono<Void> sendError(HttpServerResponse response, KvApiException exception) {
    return Mono.from(Exchanges.json(response, exception.kind().status(), KvCodec.error(exception)));
  }

  private static ByteBuf toJsonLine(ObjectNode node) {
    return Unpooled.copiedBuffer(Exchanges.write(node) + "\n", StandardCharsets.UTF_8);
  }

  private static boolean isComplete(String text) {
    try {
      return Json.mapper().readTree(text).isObject();
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
