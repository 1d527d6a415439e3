package org.sequoiareach.decision.dispatch;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Map;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.TargetUse;

/** Is something that happened to a routed request, or that is learnt for routing. */
@JsonSubTypes({
  @JsonSubTypes.Type(DispatchEvent.SheetLearned.class),
  @JsonSubTypes.Type(DispatchEvent.TargetsListed.class),
  @JsonSubTypes.Type(DispatchEvent.TargetChanged.class),
  @JsonSubTypes.Type(DispatchEvent.TargetRemoved.class),
  @JsonSubTypes.Type(DispatchEvent.TargetLeaves.class),
  @JsonSubTypes.Type(DispatchEvent.NobodyThere.class),
  @JsonSubTypes.Type(DispatchEvent.StoreSeen.class),
  @JsonSubTypes.Type(DispatchEvent.SettingsChanged.class),
  @JsonSubTypes.Type(DispatchEvent.CallArrived.class),
  @JsonSubTypes.Type(DispatchEvent.AnswerStarted.class),
  @JsonSubTypes.Type(DispatchEvent.AnswerDelivered.class),
  @JsonSubTypes.Type(DispatchEvent.AttemptFailed.class),
  @JsonSubTypes.Type(DispatchEvent.CallerLeft.class),
  @JsonSubTypes.Type(DispatchEvent.RunCopied.class),
  @JsonSubTypes.Type(DispatchEvent.PeerStateTold.class),
  @JsonSubTypes.Type(DispatchEvent.PeerPulled.class)
})
public interface DispatchEvent extends Event {

  /**
   * A sheet was read.
   *
   * @param nowMs when it was observed
   * @param sheet the sheet
   * @param source who gave it: the store or a daemon
   */
  record SheetLearned(long nowMs, RoutingSheet sheet, String source) implements DispatchEvent {}

  /**
   * All targets were read.
   *
   * @param nowMs when it was observed
   * @param revision the revision of the list
   * @param targets the targets
   * @param source who gave it: the store or a daemon
   */
  record TargetsListed(long nowMs, long revision, List<RoutedTarget> targets, String source)
      implements DispatchEvent {}

  /**
   * The entry of a target was written.
   *
   * @param nowMs when it was observed
   * @param revision the revision of the entry
   * @param target the target
   */
  record TargetChanged(long nowMs, long revision, RoutedTarget target) implements DispatchEvent {}

  /**
   * The entry of a target was removed.
   *
   * @param nowMs when it was observed
   * @param revision the revision of the removal
   * @param targetId the target
   */
  record TargetRemoved(long nowMs, long revision, String targetId) implements DispatchEvent {}

  /**
   * A target says itself that it is leaving.
   *
   * @param nowMs when it was observed
   * @param targetId the target
   */
  record TargetLeaves(long nowMs, String targetId) implements DispatchEvent {}

  /**
   * Nothing listens at a target's address.
   *
   * @param nowMs when it was observed
   * @param targetId the target
   */
  record NobodyThere(long nowMs, String targetId) implements DispatchEvent {}

  /**
   * A call to the store was answered or not.
   *
   * @param nowMs when it was observed
   * @param reachable whether it was answered
   */
  record StoreSeen(long nowMs, boolean reachable) implements DispatchEvent {}

  /**
   * The settings that may change while the daemon runs were read.
   *
   * @param nowMs when it was observed
   * @param settings the settings
   */
  record SettingsChanged(long nowMs, DispatchSettings settings) implements DispatchEvent {}

  /**
   * A whole request was read.
   *
   * @param nowMs when it was observed
   * @param callId the daemon's name of the request
   * @param profile the request
   */
  record CallArrived(long nowMs, String callId, CallProfile profile) implements DispatchEvent {}

  /**
   * The first part of an answer's body was received.
   *
   * @param nowMs when it was observed
   * @param callId the request
   * @param attempt the number of the attempt
   */
  record AnswerStarted(long nowMs, String callId, int attempt) implements DispatchEvent {}

  /**
   * A whole answer was passed on.
   *
   * @param nowMs when it was observed
   * @param callId the request
   * @param attempt the number of the attempt
   * @param status the status of the answer
   */
  record AnswerDelivered(long nowMs, String callId, int attempt, int status)
      implements DispatchEvent {}

  /**
   * An attempt failed.
   *
   * @param nowMs when it was observed
   * @param callId the request
   * @param attempt the number of the attempt
   * @param fault how it failed
   * @param retryAfterMs when the target takes requests again, by its own word; 0 where it says
   *     nothing
   * @param started whether a part of its answer was passed on
   * @param detail what was seen, for the log
   */
  record AttemptFailed(
      long nowMs,
      String callId,
      int attempt,
      AttemptFault fault,
      long retryAfterMs,
      boolean started,
      String detail)
      implements DispatchEvent {}

  /**
   * The caller closed its connection before its answer was whole.
   *
   * @param nowMs when it was observed
   * @param callId the request
   */
  record CallerLeft(long nowMs, String callId) implements DispatchEvent {}

  /**
   * A copy of a run ended.
   *
   * @param nowMs when it was observed
   * @param callId the request
   * @param round the number of the copy
   * @param outcome how it ended
   * @param handle the copy; empty where there is none
   */
  record RunCopied(long nowMs, String callId, int round, CopyOutcome outcome, String handle)
      implements DispatchEvent {}

  /**
   * Another daemon told what it holds and has in hand.
   *
   * @param nowMs when it was observed
   * @param daemonId the daemon
   * @param sheetRevision the revision of its sheet; 0 for none
   * @param targetsRevision the revision of its list of targets; 0 for none
   * @param uses its use of targets
   * @param leaving the targets that it lately saw leave
   */
  record PeerStateTold(
      long nowMs,
      String daemonId,
      long sheetRevision,
      long targetsRevision,
      Map<String, TargetUse> uses,
      List<String> leaving)
      implements DispatchEvent {}

  /**
   * Another daemon asks for what this one holds.
   *
   * @param nowMs when it was observed
   * @param daemonId the daemon
   * @param sheet whether the sheet is wanted
   * @param targets whether the list of targets is wanted
   */
  record PeerPulled(long nowMs, String daemonId, boolean sheet, boolean targets)
      implements DispatchEvent {}
}
