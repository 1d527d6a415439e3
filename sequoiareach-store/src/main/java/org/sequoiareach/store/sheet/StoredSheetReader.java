package org.sequoiareach.store.sheet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.kv.KeyValueService;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads one complete version of the sheet. Each instance performs a single read.
 *
 * <p>Sections of a known sheet are reused if their digests are unchanged.
 */
final class StoredSheetReader {

  /** Sections per call, which keeps a response within a few megabytes. */
  private static final int SECTIONS_PER_READ = 32;

  /** Attempts to read a manifest before later exports delete its sections. */
  private static final int MAX_MANIFEST_READS = 3;

  private final KeyValueService keyValues;
  private final Optional<Sheet> known;
  private final long deadlineMs;

  StoredSheetReader(KeyValueService keyValues, Optional<Sheet> known, long deadlineMs) {
    this.keyValues = keyValues;
    this.known = known;
    this.deadlineMs = deadlineMs;
  }

  static StoredSheetManifest parseManifest(KeyValueEntry entry) {
    try {
      return SheetSections.read(entry.value(), StoredSheetManifest.class);
    } catch (RuntimeException e) {
      throw unreadable(entry.key(), e.getMessage());
    }
  }

  Mono<Optional<Sheet>> read() {
    return readManifest(MAX_MANIFEST_READS);
  }

  private Mono<Optional<Sheet>> readManifest(int attemptsLeft) {
    return Mono.fromFuture(() -> keyValues.find(SheetKeys.MANIFEST, deadlineMs))
        .flatMap(
            found ->
                found.isEmpty()
                    ? Mono.just(Optional.empty())
                    : readSections(found.get(), attemptsLeft));
  }

  private Mono<Optional<Sheet>> readSections(KeyValueEntry entry, int attemptsLeft) {
    StoredSheetManifest manifest = parseManifest(entry);
    if (known.isPresent() && known.get().version() == manifest.version()) {
      return Mono.just(known);
    }
    Map<String, String> textByDigest = new HashMap<>();
    known.map(SheetSections::of).ifPresent(held -> textByDigest.putAll(held.textByDigest()));
    List<String> missing =
        manifest.digests().stream().filter(digest -> !textByDigest.containsKey(digest)).toList();
    return Flux.fromIterable(missing)
        .map(SheetKeys::section)
        .buffer(SECTIONS_PER_READ)
        .concatMap(keys -> Mono.fromFuture(() -> keyValues.findAll(keys, deadlineMs)))
        .concatMapIterable(found -> found)
        .doOnNext(section -> verifyAndAdd(section, textByDigest))
        .then(Mono.defer(() -> assembleOrRetry(manifest, textByDigest, attemptsLeft)));
  }

  private Mono<Optional<Sheet>> assembleOrRetry(
      StoredSheetManifest manifest, Map<String, String> textByDigest, int attemptsLeft) {
    if (textByDigest.keySet().containsAll(manifest.digests())) {
      return Mono.just(Optional.of(assemble(manifest, textByDigest)));
    }
    if (attemptsLeft > 1) {
      return readManifest(attemptsLeft - 1);
    }
    return Mono.error(unreadable(SheetKeys.MANIFEST, "it refers to sections that do not exist"));
  }

  private static Sheet assemble(StoredSheetManifest manifest, Map<String, String> textByDigest) {
    try {
      return SheetSections.assemble(manifest, textByDigest);
    } catch (RuntimeException e) {
      throw unreadable("of version " + manifest.version(), e.getMessage());
    }
  }

  private static void verifyAndAdd(KeyValueEntry section, Map<String, String> textByDigest) {
    String digest = SheetKeys.digestOf(section.key());
    if (!SheetSections.digest(section.value()).equals(digest)) {
      throw unreadable(section.key(), "its digest does not match its key");
    }
    textByDigest.put(digest, section.value());
  }

  private static KeyValueException unreadable(String what, String reason) {
    return new KeyValueException(
        Verdict.NOT_RUN, "The stored sheet " + what + " is unreadable: " + reason, null);
  }
}
