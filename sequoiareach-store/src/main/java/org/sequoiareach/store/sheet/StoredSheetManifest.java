package org.sequoiareach.store.sheet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sequoiareach.model.Check;

/**
 * The manifest that the key-value service stores for the current version of the sheet: the digests
 * of its sections and the identity of its export. Serialized as JSON.
 *
 * <p>Not to be confused with {@link org.sequoiareach.model.sheet.SheetManifest}, which daemons
 * exchange to find the sections that differ.
 *
 * @param version the version
 * @param exportId the id of the export that wrote this version
 * @param earlierExports the most recent earlier exports, newest first
 * @param common the digest of the section that contains models and services
 * @param organisations the sections of organisations, in the order of the sheet
 * @param retired the sections that this version does not use but that readers of earlier versions
 *     may still need
 */
record StoredSheetManifest(
    long version,
    String exportId,
    List<ExportRef> earlierExports,
    String common,
    List<SectionRef> organisations,
    List<RetiredSection> retired) {

  private static final int MAX_EARLIER_EXPORTS = 16;

  StoredSheetManifest {
    Check.inRange(version, 1, Long.MAX_VALUE, "version");
    Check.hasText(exportId, "exportId");
    Check.hasText(common, "common");
    earlierExports = List.copyOf(earlierExports);
    organisations = List.copyOf(organisations);
    retired = List.copyOf(retired);
  }

  /** Identifies an earlier export and the version that it wrote. */
  record ExportRef(long version, String exportId) {}

  /** Refers to the section of one organisation. */
  record SectionRef(String organisation, String digest) {}

  /** Refers to an unused section and the time it became unused, in epoch milliseconds. */
  record RetiredSection(String digest, long retiredAtMs) {}

  static StoredSheetManifest first(String exportId, SheetSections sections) {
    return new StoredSheetManifest(
        1, exportId, List.of(), sections.commonDigest(), sections.sectionRefs(), List.of());
  }

  /** Creates the manifest of the next version, which lists all unused sections as retired. */
  StoredSheetManifest successor(String newExportId, SheetSections sections, long nowEpochMs) {
    Set<String> used = sections.digests();
    List<RetiredSection> nowRetired = new ArrayList<>();
    retired.stream().filter(old -> !used.contains(old.digest())).forEach(nowRetired::add);
    digests().stream()
        .filter(digest -> !used.contains(digest))
        .forEach(digest -> nowRetired.add(new RetiredSection(digest, nowEpochMs)));
    List<ExportRef> exports =
        Stream.concat(Stream.of(new ExportRef(version, exportId)), earlierExports.stream())
            .limit(MAX_EARLIER_EXPORTS)
            .toList();
    return new StoredSheetManifest(
        version + 1,
        newExportId,
        exports,
        sections.commonDigest(),
        sections.sectionRefs(),
        nowRetired);
  }

  StoredSheetManifest without(List<RetiredSection> deleted) {
    List<RetiredSection> rest = retired.stream().filter(old -> !deleted.contains(old)).toList();
    return new StoredSheetManifest(version, exportId, earlierExports, common, organisations, rest);
  }

  Set<String> digests() {
    return Stream.concat(Stream.of(common), organisations.stream().map(SectionRef::digest))
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  /** Finds the version written by an export, among this version and the earlier exports listed. */
  Optional<Long> findVersionOf(String wantedExportId) {
    return Stream.concat(Stream.of(new ExportRef(version, exportId)), earlierExports.stream())
        .filter(export -> export.exportId().equals(wantedExportId))
        .map(ExportRef::version)
        .findFirst();
  }
}
