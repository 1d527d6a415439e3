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
 * Writes one sheet as the successor of the version it was based on. Used once.
 *
 * <p>The write of the manifest may be sent again after its answer was lost: it is conditional on
 * the revision of the manifest before it, so it takes effect at most once, and a refusal carries
 * the manifest in force, in which the export finds its own identity if it had taken effect.
 */
final class SheetExport {

  /** How long a section out of use may still be read. */
  static final long RETIRED_SECTION_TTL_MS = Duration.ofHours(1).toMillis();

  private static final Logger LOG = LogManager.getLogger(SheetExport.class);

  /** The service refuses transactions of more than 128 operations. */
  private static final int MAX_WRITES = 100;

  /** Text written by one transaction; the service bounds a request to 1.5 MB after base64. */
  private static final int MAX_TRANSACTION_BYTES = 700_000;

  private static final int MAX_VALUE_BYTES = 1_000_000;
  private static final long ATTEMPT_MS = 2_000;
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
  private static final Duration LAST_BACKOFF = Duration.ofSeconds(1);

  private final KeyValueService keyValues;
  private final Clock clock;
  private final LongSupplier monotonicClock;
  private final Sheet sheet;
  private final SheetSections sections;
  private final long baseVersion;
  private final long deadlineMs;
  private final String exportId = UUID.randomUUID().toString();
  private final AtomicBoolean manifestMayBeWritten = new AtomicBoolean();

  SheetExport(
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

  Mono<Long> run() {
    List<String> keys = List.of(SheetKeys.MANIFEST, SheetKeys.HISTORY);
    return Mono.fromFuture(() -> keyValues.findAll(keys, attemptDeadlineMs()))
        .retryWhen(retry())
        .flatMap(this::writeOver)
        .onErrorMap(KeyValueException.class, this::withVerdictOfExport);
  }

  /** Reads the history; one that is not readable must not keep a sheet from being exported. */
  static SheetHistory history(Optional<KeyValueEntry> found) {
    try {
      return found
          .map(entry -> SheetSections.read(entry.value(), SheetHistory.class))
          .orElse(SheetHistory.EMPTY);
    } catch (RuntimeException e) {
      LOG.warn("The history of sheets is not readable and starts anew: {}", e.getMessage());
      return SheetHistory.EMPTY;
    }
  }

  private Mono<Long> writeOver(List<KeyValueEntry> entries) {
    Optional<KeyValueEntry> found = find(entries, SheetKeys.MANIFEST);
    Optional<SheetManifest> current = found.map(SheetRead::parse);
    long currentVersion = current.map(SheetManifest::version).orElse(0L);
    if (currentVersion != baseVersion) {
      return Mono.error(new SheetConflictException(baseVersion, currentVersion));
    }
    long nowEpochMs = clock.millis();
    SheetManifest next =
        current
            .map(manifest -> manifest.successor(exportId, sections, nowEpochMs))
            .orElseGet(() -> SheetManifest.first(exportId, sections));
    Set<String> stored = current.map(SheetManifest::digests).orElse(Set.of());
    List<Transaction.Put> changed = putsExcept(stored);
    Transaction.Put history =
        historyPut(history(find(entries, SheetKeys.HISTORY)), next.version(), nowEpochMs);
    long modRevision = found.map(KeyValueEntry::modRevision).orElse(0L);
    if (fitsOneTransaction(changed, next)) {
      return writeManifest(next, history, changed, modRevision, nowEpochMs);
    }
    return Flux.fromIterable(batches(changed))
        .concatMap(this::writeSections)
        .then(Mono.defer(() -> writeManifest(next, history, List.of(), modRevision, nowEpochMs)));
  }

  private Transaction.Put historyPut(SheetHistory before, long version, long nowEpochMs) {
    String today = Instant.ofEpochMilli(nowEpochMs).atZone(ZoneOffset.UTC).toLocalDate().toString();
    SheetHistory.DayPlan plan = new SheetHistory.DayPlan(today, version, PlannedCost.of(sheet));
    return put(SheetKeys.HISTORY, SheetSections.write(before.with(plan)));
  }

  private static Optional<KeyValueEntry> find(List<KeyValueEntry> entries, String key) {
    return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
  }

  private List<Transaction.Put> putsExcept(Set<String> stored) {
    List<Transaction.Put> puts = new ArrayList<>();
    sections
        .textByDigest()
        .forEach(
            (digest, text) -> {
              if (!stored.contains(digest)) {
                puts.add(put(SheetKeys.section(digest), text));
              }
            });
    return puts;
  }

  private Mono<Long> writeManifest(
      SheetManifest next,
      Transaction.Put history,
      List<Transaction.Put> changed,
      long modRevision,
      long nowEpochMs) {
    List<SheetManifest.RetiredSection> expired =
        next.retired().stream()
            .filter(old -> old.retiredAtMs() + RETIRED_SECTION_TTL_MS < nowEpochMs)
            .limit(MAX_WRITES - changed.size())
            .toList();
    List<Transaction.Put> puts = new ArrayList<>(changed);
    puts.add(history);
    puts.add(put(SheetKeys.MANIFEST, SheetSections.write(next.without(expired))));
    Transaction transaction =
        new Transaction(
            List.of(new Transaction.Condition(SheetKeys.MANIFEST, modRevision)),
            puts,
            expired.stream().map(old -> SheetKeys.section(old.digest())).toList());
    return commit(transaction)
        .doOnError(this::recordLostAnswer)
        .retryWhen(retry())
        .map(result -> resolve(result, next.version()));
  }

  private Mono<TransactionResult> writeSections(List<Transaction.Put> puts) {
    Transaction transaction = new Transaction(List.of(), puts, List.of());
    return commit(transaction).retryWhen(retry());
  }

  private Mono<TransactionResult> commit(Transaction transaction) {
    return Mono.fromFuture(() -> keyValues.commit(transaction, attemptDeadlineMs()));
  }

  private long attemptDeadlineMs() {
    return Math.min(deadlineMs, monotonicClock.getAsLong() + ATTEMPT_MS);
  }

  private Retry retry() {
    return Retry.backoff(Long.MAX_VALUE, FIRST_BACKOFF)
        .maxBackoff(LAST_BACKOFF)
        .filter(e -> e instanceof KeyValueException && monotonicClock.getAsLong() < deadlineMs);
  }

  private void recordLostAnswer(Throwable error) {
    if (error instanceof KeyValueException e && e.verdict() != Verdict.NOT_RUN) {
      manifestMayBeWritten.set(true);
    }
  }

  private long resolve(TransactionResult result, long version) {
    if (result.applied()) {
      return version;
    }
    Optional<SheetManifest> inForce =
        find(result.found(), SheetKeys.MANIFEST).map(SheetRead::parse);
    return inForce
        .flatMap(manifest -> manifest.findVersionOf(exportId))
        .orElseThrow(
            () ->
                new SheetConflictException(
                    baseVersion, inForce.map(SheetManifest::version).orElse(0L)));
  }

  private KeyValueException withVerdictOfExport(KeyValueException e) {
    Verdict verdict = manifestMayBeWritten.get() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    return new KeyValueException(verdict, e.getMessage(), e);
  }

  private static boolean fitsOneTransaction(List<Transaction.Put> changed, SheetManifest next) {
    long bytes = SheetSections.write(next).length();
    for (Transaction.Put put : changed) {
      bytes += bytesOf(put);
    }
    return changed.size() < MAX_WRITES && bytes <= MAX_TRANSACTION_BYTES;
  }

  private static List<List<Transaction.Put>> batches(List<Transaction.Put> puts) {
    List<List<Transaction.Put>> batches = new ArrayList<>();
    List<Transaction.Put> batch = new ArrayList<>();
    long bytes = 0;
    for (Transaction.Put put : puts) {
      boolean full = batch.size() == MAX_WRITES || bytes + bytesOf(put) > MAX_TRANSACTION_BYTES;
      if (full && !batch.isEmpty()) {
        batches.add(batch);
        batch = new ArrayList<>();
        bytes = 0;
      }
      batch.add(put);
      bytes += bytesOf(put);
    }
    batches.add(batch);
    return batches;
  }

  private static Transaction.Put put(String key, String text) {
    Transaction.Put put = new Transaction.Put(key, text, 0);
    Check.isTrue(
        bytesOf(put) <= MAX_VALUE_BYTES,
        "'" + key + "' takes " + bytesOf(put) + " bytes and may take " + MAX_VALUE_BYTES + ".");
    return put;
  }

  private static int bytesOf(Transaction.Put put) {
    return put.value().getBytes(StandardCharsets.UTF_8).length;
  }
}
