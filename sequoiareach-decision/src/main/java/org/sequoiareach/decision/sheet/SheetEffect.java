package org.sequoiareach.decision.sheet;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

/** An effect of sheet distribution: a message to another daemon or a newly adopted sheet. */
@JsonSubTypes({
  @JsonSubTypes.Type(SheetEffect.AskSheetStatus.class),
  @JsonSubTypes.Type(SheetEffect.AnswerSheetStatus.class),
  @JsonSubTypes.Type(SheetEffect.AnnounceSheet.class),
  @JsonSubTypes.Type(SheetEffect.PullSheet.class),
  @JsonSubTypes.Type(SheetEffect.SendSheetSections.class),
  @JsonSubTypes.Type(SheetEffect.SheetAdopted.class)
})
public interface SheetEffect extends Effect {

  /**
   * Queries the status of the sheet held by another daemon.
   *
   * @param daemonId the receiver
   * @param sequence the sequence number of the query
   */
  record AskSheetStatus(String daemonId, long sequence) implements SheetEffect {}

  /**
   * Answers a status query.
   *
   * @param daemonId the daemon that sent the query
   * @param sequence the sequence number of the query
   * @param status the status of the sheet held by this daemon
   */
  record AnswerSheetStatus(String daemonId, long sequence, SheetStatus status)
      implements SheetEffect {}

  /**
   * Announces a newly adopted sheet to another daemon.
   *
   * @param daemonId the receiver
   * @param status the status of the sheet held by this daemon
   */
  record AnnounceSheet(String daemonId, SheetStatus status) implements SheetEffect {}

  /**
   * Requests the sections of another daemon's sheet that this daemon is missing.
   *
   * @param daemonId the receiver
   * @param haveVersion the version of the sheet held by this daemon; 0 if it holds none
   * @param haveSections the digests of the sections held by this daemon
   */
  record PullSheet(String daemonId, long haveVersion, List<Long> haveSections)
      implements SheetEffect {}

  /**
   * Sends sections that another daemon is missing.
   *
   * @param daemonId the receiver
   * @param manifest the manifest of the sheet held by this daemon
   * @param catalogue the catalogue, if the receiver is missing it
   * @param organisations some or all of the organisations that the receiver is missing
   */
  record SendSheetSections(
      String daemonId,
      SheetManifest manifest,
      Optional<SheetCatalogue> catalogue,
      List<OrganisationEntry> organisations)
      implements SheetEffect {}

  /**
   * Reports that this daemon has adopted a newer sheet.
   *
   * @param sheet the sheet
   * @param source the origin of the sheet, for the log
   */
  record SheetAdopted(Sheet sheet, String source) implements SheetEffect {}
}
