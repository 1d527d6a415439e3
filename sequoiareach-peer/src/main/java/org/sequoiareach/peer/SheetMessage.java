package org.sequoiareach.peer;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

/** Is a message by which a sheet spreads between daemons. */
public interface SheetMessage extends PeerMessage {

  /**
   * Tells which sheet the sender holds.
   *
   * @param status what it holds
   */
  record SheetAnnounced(SheetStatus status) implements SheetMessage {

    /** Checks the parts. */
    public SheetAnnounced {
      Check.notNull(status, "status");
    }
  }

  /**
   * Asks which sheet the receiver holds.
   *
   * @param sequence the number to answer with
   */
  record SheetStatusAsked(long sequence) implements SheetMessage {}

  /**
   * Answers which sheet the sender holds.
   *
   * @param sequence the number of the question
   * @param status what it holds
   */
  record SheetStatusAnswered(long sequence, SheetStatus status) implements SheetMessage {

    /** Checks the parts. */
    public SheetStatusAnswered {
      Check.notNull(status, "status");
    }
  }

  /**
   * Asks for the sections that the sender lacks.
   *
   * @param haveVersion the version the sender holds; 0 for none
   * @param haveSections the digests of the sections it holds
   */
  record SheetPull(long haveVersion, List<Long> haveSections) implements SheetMessage {

    /** Checks and copies the parts. */
    public SheetPull {
      Check.inRange(haveVersion, 0, Long.MAX_VALUE, "haveVersion");
      haveSections = haveSections == null ? List.of() : List.copyOf(haveSections);
    }
  }

  /**
   * Answers a pull. Where many sections are lacking it holds a part of them, and the receiver pulls
   * again.
   *
   * @param manifest the manifest of the sheet that the sender holds
   * @param catalogue the catalogue, where the receiver lacks it
   * @param organisations organisations that the receiver lacks
   */
  record SheetSections(
      SheetManifest manifest,
      Optional<SheetCatalogue> catalogue,
      List<OrganisationEntry> organisations)
      implements SheetMessage {

    /** Checks and copies the parts. */
    public SheetSections {
      Check.notNull(manifest, "manifest");
      Check.notNull(catalogue, "catalogue");
      organisations = organisations == null ? List.of() : List.copyOf(organisations);
    }
  }
}
