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

/** Holds a sheet by its sections and puts a newer one together from those that arrive. */
final class SheetAssembly {

  /** The most organisations sent at a time, so that an answer stays well within a frame. */
  private static final int MAX_ORGANISATIONS = 500;

  private Sheet sheet;
  private SheetManifest manifest;
  private SheetDigest digest = SheetDigest.NONE;
  private SheetManifest staged;
  private final Map<Long, Record> held = new HashMap<>();
  private final Map<Long, Record> received = new HashMap<>();

  /** Returns the version held; 0 where there is none. */
  long version() {
    return sheet == null ? 0 : sheet.version();
  }

  Optional<Sheet> sheet() {
    return Optional.ofNullable(sheet);
  }

  SheetDigest digest() {
    return digest;
  }

  /** Takes over a whole sheet, in place of the one held. */
  void replace(Sheet newer) {
    sheet = newer;
    manifest = SheetManifest.of(newer);
    digest = manifest.digest();
    staged = null;
    received.clear();
    held.clear();
    held.put(manifest.sections().get(0), SheetCatalogue.of(newer));
    for (int i = 0; i < newer.organisations().size(); i++) {
      held.put(manifest.sections().get(i + 1), newer.organisations().get(i));
    }
  }

  /** Returns the digests of all sections that need not be sent again. */
  List<Long> haveSections() {
    Set<Long> have = new HashSet<>(held.keySet());
    have.addAll(received.keySet());
    return have.stream().sorted().toList();
  }

  /** Creates the answer to a daemon that holds some sections. */
  Optional<SheetEffect.SendSheetSections> answer(SheetEvent.SheetPulled pull) {
    if (sheet == null || pull.haveVersion() >= sheet.version()) {
      return Optional.empty();
    }
    Set<Long> have = new HashSet<>(pull.haveSections());
    List<OrganisationEntry> lacking = new ArrayList<>();
    for (int i = 0; i < sheet.organisations().size(); i++) {
      if (lacking.size() < MAX_ORGANISATIONS && !have.contains(manifest.sections().get(i + 1))) {
        lacking.add(sheet.organisations().get(i));
      }
    }
    Optional<SheetCatalogue> catalogue =
        have.contains(manifest.sections().get(0))
            ? Optional.empty()
            : Optional.of(SheetCatalogue.of(sheet));
    return Optional.of(
        new SheetEffect.SendSheetSections(pull.fromDaemon(), manifest, catalogue, lacking));
  }

  /** Takes sections of a newer sheet and returns the sheet once all are there. */
  Optional<Sheet> add(SheetEvent.SheetSectionsReceived event) {
    if (event.manifest().version() <= version() || isOlderThanStaged(event.manifest())) {
      return Optional.empty();
    }
    if (!event.manifest().equals(staged)) {
      staged = event.manifest();
      received.keySet().retainAll(staged.sections());
    }
    event.catalogue().ifPresent(this::receive);
    event.organisations().forEach(this::receive);
    return assemble();
  }

  private boolean isOlderThanStaged(SheetManifest other) {
    return staged != null && other.version() < staged.version();
  }

  private void receive(Record section) {
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
