package org.sequoiareach.store.sheet;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.kv.Transaction;
import org.sequoiareach.store.kv.TransactionResult;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Writes one sheet as the successor of the version that it is based on. Each instance performs a
 * single export.
 *
 * <p>The write of the manifest can be retried after a lost response. It is conditional on the
 * revision of the previous manifest, so it takes effect at most once. The result of a rejected
 * retry contains the current manifest, which lists the id of this export if an earlier attempt took
 * effect.
 */
final class SheetExporter {

  /** Time for which an unused section remains available to readers of older manifests. */
  static final long RETIRED_SECTION_TTL_MS = Duration.ofHours(1).toMillis();

  private static final Logger LOG = LogManager.getLogger(SheetExporter.class);

  /** Stays below the limit of 128 operations per transaction of the service. */
  private static final int MAX_TRANSACTION_WRITES = 100;

  /** Stays below the limit of 1.5 MB per request of the service, which counts base64 text. */
  private static final int MAX_TRANSACTION_BYTES = 700_000;

  private static final int MAX_VALUE_BYTES = 1_000_000;
  private static final long ATTEMPT_TIMEOUT_MS = 2_000;
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

  private final KeyValueService keyValues;
  private final Clock clock;
  private final LongSupplier monotonicClock;
  private final Sheet sheet;
  private final SheetSections sections;
  private final long baseVersion;
  private final long deadlineMs;
  private final String exportId = UUID.randomUUID().toString();
  private final AtomicBoolean manifestMayBeWritten = new AtomicBoolean();

  SheetExporter(
      KeyValueService keyValues,
      Clock clock,
      LongSupplier monotonicClock,
      Sheet sheet,
      long baseVersion,
      long deadlineMs) {
    this.keyValues = keyValues;
    this.clock = clock;
    this.monotonicClock = monotonicClock;
    this.sheet = sheet;
    this.sections = SheetSections.of(sheet);
    this.baseVersion = baseVersion;
    this.deadlineMs = deadlineMs;
  }

  Mono<Long> export() {
    List<String> keys = List.of(SheetKeys.MANIFEST, SheetKeys.HISTORY);
    return Mono.fromFuture(() -> keyValues.findAll(keys, attemptDeadlineMs()))
        .retryWhen(retry())
        .flatMap(this::writeSuccessor)
        .onErrorMap(KeyValueException.class, this::withExportVerdict);
  }

  /** Parses the history; an unreadable one counts as empty so that it cannot block an export. */
  static SheetHistory parseHistory(Optional<KeyValueEntry> found) {
    try {
      return found
          .map(entry -> SheetSections.read(entry.value(), SheetHistory.class))
          .orElse(SheetHistory.EMPTY);
    } catch (RuntimeException e) {
      LOG.warn("The sheet history is unreadable; treating it as empty: {}", e.getMessage());
      return SheetHistory.EMPTY;
    }
  }

  private Mono<Long> writeSuccessor(List<KeyValueEntry> entries) {
    Optional<KeyValueEntry> found = findEntry(entries, SheetKeys.MANIFEST);
    Optional<StoredSheetManifest> current = found.map(StoredSheetReader::parseManifest);
    long currentVersion = current.map(StoredSheetManifest::version).orElse(0L);
    if (currentVersion != baseVersion) {
      return Mono.error(new SheetConflictException(baseVersion, currentVersion));
    }
    long nowEpochMs = clock.millis();
    StoredSheetManifest next =
        current
            .map(manifest -> manifest.successor(exportId, sections, nowEpochMs))
            .orElseGet(() -> StoredSheetManifest.first(exportId, sections));
    Set<String> stored = current.map(StoredSheetManifest::digests).orElse(Set.of());
    List<Transaction.Put> changed = putsOfNewSections(stored);
    Transaction.Put history =
        historyPut(parseHistory(findEntry(entries, SheetKeys.HISTORY)), next.version(), nowEpochMs);
    long modRevision = found.map(KeyValueEntry::modRevision).orElse(0L);
    if (fitsOneTransaction(changed, next)) {
      return writeManifest(next, history, changed, modRevision, nowEpochMs);
    }
    return Flux.fromIterable(toBatches(changed))
        .concatMap(this::writeSections)
        .then(Mono.defer(() -> writeManifest(next, history, List.of(), modRevision, nowEpochMs)));
  }

  private Transaction.Put historyPut(SheetHistory previous, long version, long nowEpochMs) {
    String today = Instant.ofEpochMilli(nowEpochMs).atZone(ZoneOffset.UTC).toLocalDate().toString();
    SheetHistory.DayPlan plan = new SheetHistory.DayPlan(today, version, PlannedCost.of(sheet));
    return toPut(SheetKeys.HISTORY, SheetSections.write(previous.with(plan)));
  }

  private static Optional<KeyValueEntry> findEntry(List<KeyValueEntry> entries, String key) {
    return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
  }

  private List<Transaction.Put> putsOfNewSections(Set<String> stored) {
    List<Transaction.Put> puts = new ArrayList<>();
    sections
        .textByDigest()
        .forEach(
            (digest, text) -> {
              if (!stored.contains(digest)) {
                puts.add(toPut(SheetKeys.section(digest), text));
              }
            });
    return puts;
  }

  private Mono<Long> writeManifest(
      StoredSheetManifest next,
      Transaction.Put history,
      List<Transaction.Put> changed,
      long modRevision,
      long nowEpochMs) {
    List<StoredSheetManifest.RetiredSection> expired =
        next.retired().stream()
            .filter(old -> old.retiredAtMs() + RETIRED_SECTION_TTL_MS < nowEpochMs)
            .limit(MAX_TRANSACTION_WRITES - changed.size())
            .toList();
    List<Transaction.Put> puts = new ArrayList<>(changed);
    puts.add(history);
    puts.add(toPut(SheetKeys.MANIFEST, SheetSections.write(next.without(expired))));
    Transaction transaction =
        new Transaction(
            List.of(new Transaction.Condition(SheetKeys.MANIFEST, modRevision)),
            puts,
            expired.stream().map(old -> SheetKeys.section(old.digest())).toList());
    return commit(transaction)
        .doOnError(this::recordPossibleWrite)
        .retryWhen(retry())
        .map(result -> resolveVersion(result, next.version()));
  }

  private Mono<TransactionResult> writeSections(List<Transaction.Put> puts) {
    Transaction transaction = new Transaction(List.of(), puts, List.of());
    return commit(transaction).retryWhen(retry());
  }

  private Mono<TransactionResult> commit(Transaction transaction) {
    return Mono.fromFuture(() -> keyValues.commit(transaction, attemptDeadlineMs()));
  }

  private long attemptDeadlineMs() {
    return Math.min(deadlineMs, monotonicClock.getAsLong() + ATTEMPT_TIMEOUT_MS);
  }

  private Retry retry() {
    return Retry.backoff(Long.MAX_VALUE, INITIAL_BACKOFF)
        .maxBackoff(MAX_BACKOFF)
        .filter(e -> e instanceof KeyValueException && monotonicClock.getAsLong() < deadlineMs);
  }

  private void recordPossibleWrite(Throwable error) {
    if (error instanceof KeyValueException e && e.verdict() != Verdict.NOT_RUN) {
      manifestMayBeWritten.set(true);
    }
  }

  private long resolveVersion(TransactionResult result, long version) {
    if (result.applied()) {
      return version;
    }
    Optional<StoredSheetManifest> current =
        findEntry(result.found(), SheetKeys.MANIFEST).map(StoredSheetReader::parseManifest);
    return current
        .flatMap(manifest -> manifest.findVersionOf(exportId))
        .orElseThrow(
            () ->
                new SheetConflictException(
                    baseVersion, current.map(StoredSheetManifest::version).orElse(0L)));
  }

  private KeyValueException withExportVerdict(KeyValueException e) {
    Verdict verdict = manifestMayBeWritten.get() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    return new KeyValueException(verdict, e.getMessage(), e);
  }

  private static boolean fitsOneTransaction(
      List<Transaction.Put> changed, StoredSheetManifest next) {
    long bytes = SheetSections.write(next).length();
    for (Transaction.Put put : changed) {
      bytes += valueBytes(put);
    }
    return changed.size() < MAX_TRANSACTION_WRITES && bytes <= MAX_TRANSACTION_BYTES;
  }

  private static List<List<Transaction.Put>> toBatches(List<Transaction.Put> puts) {
    List<List<Transaction.Put>> batches = new ArrayList<>();
    List<Transaction.Put> batch = new ArrayList<>();
    long bytes = 0;
    for (Transaction.Put put : puts) {
      boolean full =
          batch.size() == MAX_TRANSACTION_WRITES || bytes + valueBytes(put) > MAX_TRANSACTION_BYTES;
      if (full && !batch.isEmpty()) {
        batches.add(batch);
        batch = new ArrayList<>();
        bytes = 0;
      }
      batch.add(put);
      bytes += valueBytes(put);
    }
    batches.add(batch);
    return batches;
  }

  private static Transaction.Put toPut(String key, String text) {
    Transaction.Put put = new Transaction.Put(key, text, 0);
    Check.isTrue(
        valueBytes(put) <= MAX_VALUE_BYTES,
        "The value of '"
            + key
            + "' is "
            + valueBytes(put)
            + " bytes long and must not exceed "
            + MAX_VALUE_BYTES
            + " bytes.");
    return put;
  }

  private static int valueBytes(Transaction.Put put) {
    return put.value().getBytes(StandardCharsets.UTF_8).length;
  }
}
