package org.sequoiareach.store.kv;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.http.HttpCallException;
import org.sequoiareach.store.http.HttpCallResponse;
import org.sequoiareach.store.http.HttpCaller;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * {@link KeyValueService} on the JSON mapping of the etcd v3 API. Thread-safe.
 *
 * <p>Each call is sent at most once, to a single address. After a failure, later calls use the next
 * address. A failed read is always reported as {@link Verdict#NOT_RUN} because it changes nothing.
 */
public final class EtcdKeyValueService implements KeyValueService {

  /** Maximum size of a response. Base64 makes a value of up to 1 MB a third longer. */
  private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  /** Statuses of calls that the service rejects before it accesses its data. */
  private static final Set<Integer> REJECTED_STATUSES = Set.of(400, 401, 403, 404, 409, 413, 429);

  private final List<String> addresses;
  private final HttpCaller caller;
  private final KeyValueCallListener listener;
  private final AtomicInteger addressIndex = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @param addresses IP addresses and ports of the service, at least one
   * @param http the HTTP client, which provides connections and threads
   * @param listener the listener to notify of every call
   */
  public EtcdKeyValueService(
      List<String> addresses, HttpClient http, KeyValueCallListener listener) {
    Check.isTrue(!addresses.isEmpty(), "'addresses' must hold at least one address.");
    this.addresses = List.copyOf(addresses);
    this.caller = new HttpCaller(http, MAX_RESPONSE_BYTES);
    this.listener = Check.notNull(listener, "listener");
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> find(String key, long deadlineMs) {
    Check.hasText(key, "key");
    EtcdMessages.RangeRequest request = EtcdMessages.RangeRequest.ofKey(key);
    return range(request, deadlineMs).map(found -> found.stream().findFirst()).toFuture();
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> list(String prefix, long deadlineMs) {
    Check.hasText(prefix, "prefix");
    return range(EtcdMessages.RangeRequest.ofPrefix(prefix), deadlineMs).toFuture();
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> findAll(List<String> keys, long deadlineMs) {
    if (keys.size() == 1) {
      // A range request counts against the rate limit of reads; a transaction may count as a write.
      return range(EtcdMessages.RangeRequest.ofKey(keys.get(0)), deadlineMs).toFuture();
    }
    List<EtcdMessages.RequestOp> reads = keys.stream().map(EtcdMessages.RequestOp::read).toList();
    EtcdMessages.TxnRequest request = new EtcdMessages.TxnRequest(List.of(), reads, List.of());
    return call(
            KeyValueCall.READ,
            "/v3/kv/txn",
            request,
            EtcdMessages.TxnResponse.class,
            EtcdMessages.TxnResponse::entries,
            deadlineMs)
        .toFuture();
  }

  @Override
  public CompletableFuture<TransactionResult> commit(Transaction transaction, long deadlineMs) {
    EtcdMessages.TxnRequest request = toRequest(transaction);
    return call(
            KeyValueCall.WRITE,
            "/v3/kv/txn",
            request,
            EtcdMessages.TxnResponse.class,
            EtcdKeyValueService::toResult,
            deadlineMs)
        .toFuture();
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlSeconds, long deadlineMs) {
    EtcdMessages.LeaseGrantRequest request =
        new EtcdMessages.LeaseGrantRequest(Long.toString(ttlSeconds));
    return call(
            KeyValueCall.LEASE_GRANT,
            "/v3/lease/grant",
            request,
            EtcdMessages.LeaseGrantResponse.class,
            EtcdKeyValueService::leaseId,
            deadlineMs)
        .toFuture();
  }

  @Override
  public CompletableFuture<Boolean> keepLeaseAlive(long leaseId, long deadlineMs) {
    return call(
            KeyValueCall.LEASE_KEEP_ALIVE,
            "/v3/lease/keepalive",
            new EtcdMessages.LeaseRequest(Long.toString(leaseId)),
            EtcdMessages.KeepAliveResponse.class,
            EtcdMessages.KeepAliveResponse::isAlive,
            deadlineMs)
        .toFuture();
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId, long deadlineMs) {
    return call(
            KeyValueCall.LEASE_REVOKE,
            "/v3/lease/revoke",
            new EtcdMessages.LeaseRequest(Long.toString(leaseId)),
            EtcdMessages.RevokeResponse.class,
            Function.identity(),
            deadlineMs)
        .then()
        .toFuture();
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> watch(
      String key, long afterRevision, long deadlineMs) {
    Check.hasText(key, "key");
    String address = address();
    AtomicBoolean established = new AtomicBoolean();
    listener.onCall(KeyValueCall.WATCH);
    return caller
        .postForLines(address, "/v3/watch", watchRequest(key, afterRevision))
        .map(line -> parse(line, EtcdMessages.WatchResponse.class))
        .doOnNext(response -> established.set(true))
        .filter(EtcdKeyValueService::isTerminal)
        .next()
        .timeout(MonotonicClock.until(deadlineMs))
        .flatMap(response -> toChangedEntry(response.result(), key, afterRevision, deadlineMs))
        .switchIfEmpty(Mono.error(() -> watchClosed(address)))
        .onErrorResume(
            e -> established.get() && e instanceof TimeoutException,
            e -> Mono.just(Optional.empty()))
        .onErrorMap(e -> toException(KeyValueCall.WATCH, address, e))
        .toFuture();
  }

  private Mono<Optional<KeyValueEntry>> toChangedEntry(
      EtcdMessages.WatchResult result, String key, long afterRevision, long deadlineMs) {
    List<EtcdMessages.WatchEvent> events = result.events() == null ? List.of() : result.events();
    if (events.isEmpty()) {
      // The watch was cancelled, for example by a compaction: only a read can detect a change.
      return Mono.fromFuture(() -> find(key, deadlineMs))
          .map(found -> found.filter(entry -> entry.modRevision() > afterRevision));
    }
    EtcdMessages.WatchEvent last = events.get(events.size() - 1);
    return Mono.just(
        last.isDelete() || last.kv() == null ? Optional.empty() : Optional.of(last.kv().toEntry()));
  }

  private Mono<List<KeyValueEntry>> range(EtcdMessages.RangeRequest request, long deadlineMs) {
    return call(
        KeyValueCall.READ,
        "/v3/kv/range",
        request,
        EtcdMessages.RangeResponse.class,
        EtcdMessages.RangeResponse::entries,
        deadlineMs);
  }

  private <T, R> Mono<R> call(
      KeyValueCall call,
      String path,
      Object request,
      Class<T> type,
      Function<T, R> mapper,
      long deadlineMs) {
    String address = address();
    listener.onCall(call);
    return caller
        .post(address, path, write(request), deadlineMs)
        .map(response -> mapper.apply(parse(requireOk(response, call, address), type)))
        .onErrorMap(e -> toException(call, address, e));
  }

  private String address() {
    return addresses.get(Math.floorMod(addressIndex.get(), addresses.size()));
  }

  private KeyValueException toException(KeyValueCall call, String address, Throwable cause) {
    if (cause instanceof KeyValueException known) {
      return known;
    }
    // Move on to the next address, unless another failure has already done so.
    int index = addresses.indexOf(address);
    addressIndex.compareAndSet(index, (index + 1) % addresses.size());
    boolean sent = !(cause instanceof HttpCallException failure) || failure.sent();
    Verdict verdict = sent && isMutating(call) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    String message = "Call " + call + " to the key-value service failed: " + cause.getMessage();
    return new KeyValueException(verdict, message, cause);
  }

  private static boolean isMutating(KeyValueCall call) {
    return call != KeyValueCall.READ && call != KeyValueCall.WATCH;
  }

  private static String requireOk(HttpCallResponse response, KeyValueCall call, String address) {
    if (response.isOk()) {
      return response.body();
    }
    boolean rejected = REJECTED_STATUSES.contains(response.status());
    throw new KeyValueException(
        rejected || !isMutating(call) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        "The key-value service at "
            + address
            + " returned status "
            + response.status()
            + " for "
            + call,
        null);
  }

  private static KeyValueException watchClosed(String address) {
    return new KeyValueException(
        Verdict.NOT_RUN,
        "The key-value service at " + address + " closed a watch before an event or the deadline",
        null);
  }

  private static boolean isTerminal(EtcdMessages.WatchResponse response) {
    EtcdMessages.WatchResult result = response.result();
    return result != null
        && (result.canceled() || (result.events() != null && !result.events().isEmpty()));
  }

  private static String watchRequest(String key, long afterRevision) {
    String start = Long.toString(afterRevision + 1);
    return write(
        new EtcdMessages.WatchRequest(
            new EtcdMessages.WatchCreate(EtcdMessages.encode(key), start)));
  }

  private static long leaseId(EtcdMessages.LeaseGrantResponse response) {
    if (response.id() == 0) {
      throw new IllegalStateException("the response to a lease grant contains no lease id");
    }
    return response.id();
  }

  private static EtcdMessages.TxnRequest toRequest(Transaction transaction) {
    List<EtcdMessages.RequestOp> writes =
        Stream.concat(
                transaction.puts().stream().map(EtcdMessages.RequestOp::write),
                transaction.deletes().stream().map(EtcdMessages.RequestOp::remove))
            .toList();
    Set<String> keys = new LinkedHashSet<>();
    transaction.conditions().forEach(condition -> keys.add(condition.key()));
    return new EtcdMessages.TxnRequest(
        transaction.conditions().stream().map(EtcdMessages.Compare::of).toList(),
        writes,
        keys.stream().map(EtcdMessages.RequestOp::read).toList());
  }

  private static TransactionResult toResult(EtcdMessages.TxnResponse response) {
    long revision = response.header() == null ? 0 : response.header().revision();
    if (revision <= 0) {
      throw new IllegalStateException("the response to a transaction contains no revision");
    }
    List<KeyValueEntry> found = response.succeeded() ? List.of() : response.entries();
    return new TransactionResult(response.succeeded(), revision, found);
  }

  private static String write(Object message) {
    try {
      return Json.mapper().writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static <T> T parse(String text, Class<T> type) {
    try {
      T value = Json.mapper().readValue(text, type);
      if (value == null) {
        throw new IllegalStateException("the response is null");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the response is unreadable: " + e.getOriginalMessage(), e);
    }
  }
}
