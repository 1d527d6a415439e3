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

/** Reads one version of the sheet whole. Used once. */
final class SheetRead {

  /** Sections read by one call, so that an answer stays within a few megabytes. */
  private static final int SECTIONS_PER_READ = 32;

  /** Reads of the manifest when its sections are deleted meanwhile by later exports. */
  private static final int MANIFEST_READS = 3;

  private final KeyValueService keyValues;
  private final Optional<Sheet> known;
  private final long deadlineMs;

  SheetRead(KeyValueService keyValues, Optional<Sheet> known, long deadlineMs) {
    this.keyValues = keyValues;
    this.known = known;
    this.deadlineMs = deadlineMs;
  }

  static SheetManifest parse(KeyValueEntry entry) {
    try {
      return SheetSections.read(entry.value(), SheetManifest.class);
    } catch (RuntimeException e) {
      throw unreadable(entry.key(), e.getMessage());
    }
  }

  Mono<Optional<Sheet>> run() {
    return attempt(MANIFEST_READS);
  }

  private Mono<Optional<Sheet>> attempt(int readsLeft) {
    return Mono.fromFuture(() -> keyValues.find(SheetKeys.MANIFEST, deadlineMs))
        .flatMap(
            found -> found.isEmpty() ? Mono.just(Optional.empty()) : load(found.get(), readsLeft));
  }

  private Mono<Optional<Sheet>> load(KeyValueEntry entry, int readsLeft) {
    SheetManifest manifest = parse(entry);
    if (known.isPresent() && known.get().version() == manifest.version()) {
      return Mono.just(known);
    }
    Map<String, String> texts = new HashMap<>();
    known.map(SheetSections::of).ifPresent(held -> texts.putAll(held.textByDigest()));
    List<String> missing =
        manifest.digests().stream().filter(digest -> !texts.containsKey(digest)).toList();
    return Flux.fromIterable(missing)
        .map(SheetKeys::section)
        .buffer(SECTIONS_PER_READ)
        .concatMap(keys -> Mono.fromFuture(() -> keyValues.findAll(keys, deadlineMs)))
        .concatMapIterable(found -> found)
        .doOnNext(section -> keep(section, texts))
        .then(Mono.defer(() -> join(manifest, texts, readsLeft)));
  }

  private Mono<Optional<Sheet>> join(
      SheetManifest manifest, Map<String, String> texts, int readsLeft) {
    if (texts.keySet().containsAll(manifest.digests())) {
      return Mono.just(Optional.of(build(manifest, texts)));
    }
    if (readsLeft > 1) {
      return attempt(readsLeft - 1);
    }
    return Mono.error(unreadable(SheetKeys.MANIFEST, "it names sections that do not exist"));
  }

  private static Sheet build(SheetManifest manifest, Map<String, String> texts) {
    try {
      return SheetSections.join(manifest, texts);
    } catch (RuntimeException e) {
      throw unreadable("of version " + manifest.version(), e.getMessage());
    }
  }

  private static void keep(KeyValueEntry section, Map<String, String> texts) {
    String digest = SheetKeys.digestOf(section.key());
    if (!SheetSections.digest(section.value()).equals(digest)) {
      throw unreadable(section.key(), "its text does not have the digest of its key");
    }
    texts.put(digest, section.value());
  }

  private static KeyValueException unreadable(String what, String why) {
    return new KeyValueException(
        Verdict.NOT_RUN, "The stored sheet " + what + " is not readable: " + why, null);
  }
}
