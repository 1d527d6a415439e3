package org.sequoiareach.peer;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

/** Message that distributes the sheet between daemons. */
public interface SheetMessage extends PeerMessage {

  /**
   * Announces the sheet that the sender holds.
   *
   * @param status the sender's sheet status
   */
  record SheetAnnounced(SheetStatus status) implements SheetMessage {

    /** Validates the components. */
    public SheetAnnounced {
      Check.notNull(status, "status");
    }
  }

  /**
   * Requests the sheet status of the receiver.
   *
   * @param sequence the sequence number that the response repeats
   */
  record SheetStatusAsked(long sequence) implements SheetMessage {}

  /**
   * Response to a {@link SheetStatusAsked}.
   *
   * @param sequence the sequence number of the request
   * @param status the sender's sheet status
   */
  record SheetStatusAnswered(long sequence, SheetStatus status) implements SheetMessage {

    /** Validates the components. */
    public SheetStatusAnswered {
      Check.notNull(status, "status");
    }
  }

  /**
   * Requests the sections that the sender is missing.
   *
   * @param haveVersion the version that the sender holds; 0 if it has none
   * @param haveSections the digests of the sections that the sender holds
   */
  record SheetPull(long haveVersion, List<Long> haveSections) implements SheetMessage {

    /** Validates the components and copies the lists. */
    public SheetPull {
      Check.inRange(haveVersion, 0, Long.MAX_VALUE, "haveVersion");
      haveSections = haveSections == null ? List.of() : List.copyOf(haveSections);
    }
  }

  /**
   * Response to a {@link SheetPull}. If many sections are missing, it contains only some of them
   * and the receiver pulls again.
   *
   * @param manifest the manifest of the sheet that the sender holds
   * @param catalogue the catalogue, if the receiver is missing it
   * @param organisations organisations that the receiver is missing
   */
  record SheetSections(
      SheetManifest manifest,
      Optional<SheetCatalogue> catalogue,
      List<OrganisationEntry> organisations)
      implements SheetMessage {

    /** Validates the components and copies the lists. */
    public SheetSections {
      Check.notNull(manifest, "manifest");
      Check.notNull(catalogue, "catalogue");
      organisations = organisations == null ? List.of() : List.copyOf(organisations);
    }
  }
}
