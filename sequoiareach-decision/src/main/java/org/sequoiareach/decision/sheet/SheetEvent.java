package org.sequoiareach.decision.sheet;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

/** Is something that another daemon told of its sheet. */
@JsonSubTypes({
  @JsonSubTypes.Type(SheetEvent.SheetStatusAsked.class),
  @JsonSubTypes.Type(SheetEvent.SheetStatusAnswered.class),
  @JsonSubTypes.Type(SheetEvent.SheetStatusSeen.class),
  @JsonSubTypes.Type(SheetEvent.SheetPulled.class),
  @JsonSubTypes.Type(SheetEvent.SheetSectionsReceived.class)
})
public interface SheetEvent extends Event {

  /**
   * Returns the daemon that told it.
   *
   * @return its identity
   */
  String fromDaemon();

  /**
   * Another daemon asks which sheet this one holds.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that asks
   * @param sequence the number to answer with
   */
  record SheetStatusAsked(long nowMs, String fromDaemon, long sequence) implements SheetEvent {}

  /**
   * Another daemon has answered which sheet it holds.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that answered
   * @param sequence the number of the question
   * @param status what it holds
   */
  record SheetStatusAnswered(long nowMs, String fromDaemon, long sequence, SheetStatus status)
      implements SheetEvent {}

  /**
   * Another daemon told unasked which sheet it holds. How old that news is cannot be known.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that told it
   * @param status what it holds
   */
  record SheetStatusSeen(long nowMs, String fromDaemon, SheetStatus status) implements SheetEvent {}

  /**
   * Another daemon asks for the sections it lacks.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that asks
   * @param haveVersion the version it holds
   * @param haveSections the digests of the sections it holds
   */
  record SheetPulled(long nowMs, String fromDaemon, long haveVersion, List<Long> haveSections)
      implements SheetEvent {}

  /**
   * Another daemon has sent sections of its sheet.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that sent them
   * @param manifest the manifest of its sheet
   * @param catalogue the catalogue, where it was lacking
   * @param organisations some or all of the lacking organisations
   */
  record SheetSectionsReceived(
      long nowMs,
      String fromDaemon,
      SheetManifest manifest,
      Optional<SheetCatalogue> catalogue,
      List<OrganisationEntry> organisations)
      implements SheetEvent {}
}
