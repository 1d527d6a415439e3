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
 * Names the sections that make up one version of the sheet, and who exported it.
 *
 * @param version the version
 * @param exportId the identity of the export that wrote it
 * @param earlierExports the latest exports before it, newest first
 * @param common the digest of the section of models and services
 * @param organisations the sections of organisations, in the order of the sheet
 * @param retired sections that no version in force uses any more but that may still be read
 */
record SheetManifest(
    long version,
    String exportId,
    List<ExportMark> earlierExports,
    String common,
    List<SectionRef> organisations,
    List<RetiredSection> retired) {

  private static final int REMEMBERED_EXPORTS = 16;

  SheetManifest {
    Check.inRange(version, 1, Long.MAX_VALUE, "version");
    Check.hasText(exportId, "exportId");
    Check.hasText(common, "common");
    earlierExports = List.copyOf(earlierExports);
    organisations = List.copyOf(organisations);
    retired = List.copyOf(retired);
  }

  /** Identifies an earlier export. */
  record ExportMark(long version, String exportId) {}

  /** Names the section of one organisation. */
  record SectionRef(String organisation, String digest) {}

  /** Names a section out of use and when it went out of use, in milliseconds of the epoch. */
  record RetiredSection(String digest, long retiredAtMs) {}

  static SheetManifest first(String exportId, SheetSections sections) {
    return new SheetManifest(
        1, exportId, List.of(), sections.commonDigest(), sections.refs(), List.of());
  }

  /** Creates the manifest of the next version, with every section out of use still listed. */
  SheetManifest successor(String newExportId, SheetSections sections, long nowEpochMs) {
    Set<String> used = sections.digests();
    List<RetiredSection> nowRetired = new ArrayList<>();
    retired.stream().filter(old -> !used.contains(old.digest())).forEach(nowRetired::add);
    digests().stream()
        .filter(digest -> !used.contains(digest))
        .forEach(digest -> nowRetired.add(new RetiredSection(digest, nowEpochMs)));
    List<ExportMark> exports =
        Stream.concat(Stream.of(new ExportMark(version, exportId)), earlierExports.stream())
            .limit(REMEMBERED_EXPORTS)
            .toList();
    return new SheetManifest(
        version + 1, newExportId, exports, sections.commonDigest(), sections.refs(), nowRetired);
  }

  SheetManifest without(List<RetiredSection> deleted) {
    List<RetiredSection> rest = retired.stream().filter(old -> !deleted.contains(old)).toList();
    return new SheetManifest(version, exportId, earlierExports, common, organisations, rest);
  }

  Set<String> digests() {
    return Stream.concat(Stream.of(common), organisations.stream().map(SectionRef::digest))
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  /** Finds the version that an export wrote, if this manifest or a remembered one came of it. */
  Optional<Long> findVersionOf(String wantedExportId) {
    return Stream.concat(Stream.of(new ExportMark(version, exportId)), earlierExports.stream())
        .filter(mark -> mark.exportId().equals(wantedExportId))
        .map(ExportMark::version)
        .findFirst();
  }
}
