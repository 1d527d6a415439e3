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

/** Is a message on sheets to another daemon, or news of the sheet of this one. */
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
   * Asks a daemon which sheet it holds.
   *
   * @param daemonId the daemon
   * @param sequence the number of the question
   */
  record AskSheetStatus(String daemonId, long sequence) implements SheetEffect {}

  /**
   * Answers which sheet this daemon holds.
   *
   * @param daemonId the daemon that asked
   * @param sequence the number of the question
   * @param status what this daemon holds
   */
  record AnswerSheetStatus(String daemonId, long sequence, SheetStatus status)
      implements SheetEffect {}

  /**
   * Tells a daemon of a newer sheet.
   *
   * @param daemonId the daemon
   * @param status what this daemon holds
   */
  record AnnounceSheet(String daemonId, SheetStatus status) implements SheetEffect {}

  /**
   * Asks a daemon for the sections of its sheet that this one lacks.
   *
   * @param daemonId the daemon
   * @param haveVersion the version held here
   * @param haveSections the digests of the sections held here
   */
  record PullSheet(String daemonId, long haveVersion, List<Long> haveSections)
      implements SheetEffect {}

  /**
   * Sends sections that a daemon lacks.
   *
   * @param daemonId the daemon
   * @param manifest the manifest of the sheet held here
   * @param catalogue the catalogue, where the daemon lacks it
   * @param organisations some or all of the organisations it lacks
   */
  record SendSheetSections(
      String daemonId,
      SheetManifest manifest,
      Optional<SheetCatalogue> catalogue,
      List<OrganisationEntry> organisations)
      implements SheetEffect {}

  /**
   * Tells that a newer sheet is held from now on.
   *
   * @param sheet the sheet
   * @param source where it came from, for the log
   */
  record SheetAdopted(Sheet sheet, String source) implements SheetEffect {}
}
