package org.sequoiareach.decision.sheet;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

/** A message about sheets from another daemon. */
@JsonSubTypes({
  @JsonSubTypes.Type(SheetEvent.SheetStatusAsked.class),
  @JsonSubTypes.Type(SheetEvent.SheetStatusAnswered.class),
  @JsonSubTypes.Type(SheetEvent.SheetStatusSeen.class),
  @JsonSubTypes.Type(SheetEvent.SheetPulled.class),
  @JsonSubTypes.Type(SheetEvent.SheetSectionsReceived.class)
})
public interface SheetEvent extends Event {

  /**
   * Returns the sender of the message.
   *
   * @return the identity of the daemon
   */
  String fromDaemon();

  /**
   * Another daemon has queried the status of the local sheet.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the sender
   * @param sequence the sequence number of the query
   */
  record SheetStatusAsked(long nowMs, String fromDaemon, long sequence) implements SheetEvent {}

  /**
   * Another daemon has answered a status query.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the sender
   * @param sequence the sequence number of the query
   * @param status the status of the sheet held by the sender
   */
  record SheetStatusAnswered(long nowMs, String fromDaemon, long sequence, SheetStatus status)
      implements SheetEvent {}

  /**
   * Another daemon has reported its status without a query. The age of the report is unknown, so it
   * cannot confirm the local sheet.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the sender
   * @param status the status of the sheet held by the sender
   */
  record SheetStatusSeen(long nowMs, String fromDaemon, SheetStatus status) implements SheetEvent {}

  /**
   * Another daemon has requested the sections it is missing.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the sender
   * @param haveVersion the version of the sheet held by the sender; 0 if it holds none
   * @param haveSections the digests of the sections held by the sender
   */
  record SheetPulled(long nowMs, String fromDaemon, long haveVersion, List<Long> haveSections)
      implements SheetEvent {}

  /**
   * Another daemon has sent sections of its sheet.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the sender
   * @param manifest the manifest of the sheet held by the sender
   * @param catalogue the catalogue, if this daemon was missing it
   * @param organisations some or all of the organisations that this daemon was missing
   */
  record SheetSectionsReceived(
      long nowMs,
      String fromDaemon,
      SheetManifest manifest,
      Optional<SheetCatalogue> catalogue,
      List<OrganisationEntry> organisations)
      implements SheetEvent {}
}
