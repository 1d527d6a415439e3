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
 * Stands in for the key-value service: {@code /v3/kv/range}, {@code put}, {@code deleterange},
 * {@code txn}, {@code /v3/lease/grant}, {@code keepalive}, {@code revoke} and {@code /v3/watch}.
 * Past revisions, sort orders, nested transactions and compaction are left out, and calls that need
 * them are refused. Thread-safe.
 */
public final class KvStandin extends AbstractHttpStandin<KvFaults> {

  private static final Duration EXPIRY_PERIOD = Duration.ofMillis(20);
  private static final Set<String> WRITES =
      Set.of("put", "deleterange", "txn", "grant", "keepalive", "revoke");
  private static final Set<String> LOSABLE = Set.of("put", "deleterange", "txn", "grant", "revoke");

  private final KvSettings settings;
  private final KvStore store = new KvStore();
  private final RateLimit allCalls = new RateLimit();
  private final RateLimit reads = new RateLimit();
  private final RateLimit writes = new RateLimit();
  private final FaultCountdown loseAnswer = new FaultCountdown();
  private final Map<String, Long> calls = new ConcurrentHashMap<>();
  private final Set<FluxSink<ObjectNode>> watches = ConcurrentHashMap.newKeySet();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong lostAnswers = new AtomicLong();
  private Disposable expiry;

  /**
   * Creates a stand-in that is not started.
   *
   * @param settings the settings
   */
  public KvStandin(KvSettings settings) {
    super(settings.listen(), new FaultSwitches<>(KvFaults.class, KvFaults.NONE));
    this.settings = settings;
    reads.set(settings.readsPerSecond(), nowMs());
    writes.set(settings.writesPerSecond(), nowMs());
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
        lostAnswers.get());
  }

  @Override
  protected void onFaults(KvFaults switches) {
    loseAnswer.set(switches.loseAnswerAfterWrite());
    allCalls.set(switches.ratePerSecond(), nowMs());
    if (switches.down() || switches.watchCut()) {
      watches.forEach(sink -> sink.error(new IllegalStateException("cut by a fault switch")));
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
      return Exchanges.error(response, 404, "There is no " + path + ".");
    }
    String kind = path.substring(path.lastIndexOf('/') + 1);
    if (path.equals("/v3/watch")) {
      // The call of a watch may stay open for more, so its first document is taken once complete.
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
      obtainRate(kind);
      ObjectNode answer = apply(kind, Exchanges.parse(text));
      calls.merge(kind, 1L, Long::sum);
      if (LOSABLE.contains(kind) && loseAnswer.take()) {
        lostAnswers.incrementAndGet();
        return Mono.from(Exchanges.drop(request));
      }
      return Mono.from(Exchanges.json(response, 200, answer));
    } catch (KvErrorException e) {
      return refuse(response, e);
    }
  }

  private ObjectNode apply(String kind, JsonNode node) {
    return switch (kind) {
      case "range" -> applyOne(KvCodec.readRange(node));
      case "put" -> applyOne(checkSize(KvCodec.readPut(node)));
      case "deleterange" -> applyOne(KvCodec.readDelete(node));
      case "txn" -> applyTxn(KvCodec.readTxn(node));
      case "grant" -> grant(node);
      case "keepalive" -> keepAlive(KvCodec.number(node, "ID"));
      case "revoke" -> revoke(KvCodec.number(node, "ID"));
      default ->
          throw new KvErrorException(KvErrorException.Kind.UNIMPLEMENTED, "unknown call " + kind);
    };
  }

  private ObjectNode applyOne(Operation operation) {
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
      throw new KvErrorException(KvErrorException.Kind.INVALID_ARGUMENT, "request is too large");
    }
    return operation;
  }

  private ObjectNode grant(JsonNode node) {
    long ttlSeconds = KvCodec.number(node, "TTL");
    long id = store.grantLease(KvCodec.number(node, "ID"), ttlSeconds, nowMs());
    ObjectNode answer = KvCodec.object(store.revision());
    KvCodec.putNumber(answer, "ID", id);
    KvCodec.putNumber(answer, "TTL", ttlSeconds);
    return answer;
  }

  private ObjectNode keepAlive(long id) {
    long ttlSeconds = store.keepLeaseAlive(id, nowMs());
    ObjectNode answer = KvCodec.object(store.revision());
    KvCodec.putNumber(answer, "ID", id);
    KvCodec.putNumber(answer, "TTL", ttlSeconds);
    return KvCodec.result(answer);
  }

  private ObjectNode revoke(long id) {
    store.revokeLease(id, nowMs());
    return KvCodec.object(store.revision());
  }

  private Publisher<Void> watch(
      JsonNode node, HttpServerRequest request, HttpServerResponse response) {
    if (faults().watchCut()) {
      return Exchanges.drop(request);
    }
    JsonNode create = KvCodec.member(node, "create_request");
    try {
      obtainRate("watch");
      KeyRange range = KvCodec.readKeyRange(create);
      long fromRevision = KvCodec.number(create, "start_revision");
      calls.merge("watch", 1L, Long::sum);
      Flux<ObjectNode> lines = Flux.create(sink -> open(sink, range, fromRevision));
      Flux<ByteBuf> sent =
          lines.map(KvStandin::line).onErrorResume(e -> Exchanges.dropStream(request));
      return response.header("content-type", "application/json").send(sent, buffer -> true);
    } catch (KvErrorException e) {
      return refuse(response, e);
    }
  }

  private void open(FluxSink<ObjectNode> sink, KeyRange range, long fromRevision) {
    ObjectNode created = KvCodec.object(store.revision()).put("created", true);
    sink.next(KvCodec.result(created));
    watches.add(sink);
    Runnable close =
        store.watch(range, fromRevision, batch -> sink.next(KvCodec.writeWatchBatch(batch)));
    sink.onDispose(
        () -> {
          watches.remove(sink);
          close.run();
        });
  }

  private void obtainRate(String kind) {
    RateLimit own = WRITES.contains(kind) ? writes : reads;
    if (!allCalls.tryTake(nowMs()) || !own.tryTake(nowMs())) {
      refused.incrementAndGet();
      throw new KvErrorException(KvErrorException.Kind.RESOURCE_EXHAUSTED, "too many requests");
    }
  }

  private static Mono<Void> refuse(HttpServerResponse response, KvErrorException thrown) {
    return Mono.from(Exchanges.json(response, thrown.kind().status(), KvCodec.error(thrown)));
  }

  private static ByteBuf line(ObjectNode node) {
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
