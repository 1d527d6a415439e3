package org.sequoiareach.decision.sheet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetDigest;
import org.sequoiareach.model.sheet.SheetManifest;

/**
 * Holds the current sheet by its sections and assembles a newer one from received sections.
 *
 * <p>Sections are identified by their digests, so that only changed ones are transferred. Not
 * thread-safe.
 */
final class SheetAssembly {

  /** Keeps a message well below the maximum frame size. */
  private static final int MAX_ORGANISATIONS_PER_MESSAGE = 500;

  private Sheet sheet;
  private SheetManifest manifest;
  private SheetDigest digest = SheetDigest.NONE;
  private SheetManifest staged;
  private final Map<Long, Record> held = new HashMap<>();
  private final Map<Long, Record> received = new HashMap<>();

  /** Returns the version of the current sheet, or 0 if there is none. */
  long version() {
    return sheet == null ? 0 : sheet.version();
  }

  Optional<Sheet> sheet() {
    return Optional.ofNullable(sheet);
  }

  SheetDigest digest() {
    return digest;
  }

  /** Replaces the current sheet and discards received sections. */
  void replaceSheet(Sheet newSheet) {
    sheet = newSheet;
    manifest = SheetManifest.of(newSheet);
    digest = manifest.digest();
    staged = null;
    received.clear();
    held.clear();
    held.put(manifest.sections().get(0), SheetCatalogue.of(newSheet));
    for (int i = 0; i < newSheet.organisations().size(); i++) {
      held.put(manifest.sections().get(i + 1), newSheet.organisations().get(i));
    }
  }

  /** Returns the sorted digests of all sections that peers need not send. */
  List<Long> heldSections() {
    Set<Long> heldDigests = new HashSet<>(held.keySet());
    heldDigests.addAll(received.keySet());
    return heldDigests.stream().sorted().toList();
  }

  /**
   * Creates a message with sections that a daemon is missing, or returns empty if this daemon has
   * no newer sheet.
   */
  Optional<SheetEffect.SendSheetSections> createSections(SheetEvent.SheetPulled pull) {
    if (sheet == null || pull.haveVersion() >= sheet.version()) {
      return Optional.empty();
    }
    Set<Long> heldDigests = new HashSet<>(pull.haveSections());
    List<OrganisationEntry> missing = new ArrayList<>();
    for (int i = 0; i < sheet.organisations().size(); i++) {
      if (missing.size() < MAX_ORGANISATIONS_PER_MESSAGE
          && !heldDigests.contains(manifest.sections().get(i + 1))) {
        missing.add(sheet.organisations().get(i));
      }
    }
    Optional<SheetCatalogue> catalogue =
        heldDigests.contains(manifest.sections().get(0))
            ? Optional.empty()
            : Optional.of(SheetCatalogue.of(sheet));
    return Optional.of(
        new SheetEffect.SendSheetSections(pull.fromDaemon(), manifest, catalogue, missing));
  }

  /** Adds sections of a newer sheet; returns the sheet once it is complete. */
  Optional<Sheet> addSections(SheetEvent.SheetSectionsReceived event) {
    if (event.manifest().version() <= version() || isOlderThanStaged(event.manifest())) {
      return Optional.empty();
    }
    if (!event.manifest().equals(staged)) {
      staged = event.manifest();
      received.keySet().retainAll(staged.sections());
    }
    event.catalogue().ifPresent(this::stage);
    event.organisations().forEach(this::stage);
    return assemble();
  }

  private boolean isOlderThanStaged(SheetManifest other) {
    return staged != null && other.version() < staged.version();
  }

  private void stage(Record section) {
    long digest = SheetManifest.digestOf(section);
    if (staged.sections().contains(digest)) {
      received.put(digest, section);
    }
  }

  private Optional<Sheet> assemble() {
    List<Record> sections = new ArrayList<>();
    for (Long digest : staged.sections()) {
      Record section = received.getOrDefault(digest, held.get(digest));
      if (section == null) {
        return Optional.empty();
      }
      sections.add(section);
    }
    if (!(sections.get(0) instanceof SheetCatalogue catalogue)) {
      return Optional.empty();
    }
    List<OrganisationEntry> organisations = new ArrayList<>();
    for (Record section : sections.subList(1, sections.size())) {
      if (!(section instanceof OrganisationEntry organisation)) {
        return Optional.empty();
      }
      organisations.add(organisation);
    }
    return Optional.of(
        new Sheet(staged.version(), catalogue.models(), catalogue.services(), organisations));
  }
}
