package org.sequoiareach.decision.dispatch;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.follow.StoreAccess;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.FleetState;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.StoreNews;
import org.sequoiareach.model.route.TargetOutcomes;
import org.sequoiareach.model.route.TargetRateLimit;
import org.sequoiareach.model.route.TargetUse;
import org.sequoiareach.model.route.ZoneMaintenance;

/**
 * An effect of the dispatch: an action on a call or a target, or a message to another daemon.
 *
 * <p>The simple names of the records and their components are the JSON format of recorded sessions.
 */
@JsonSubTypes({
  @JsonSubTypes.Type(DispatchEffect.UseRoutingSheet.class),
  @JsonSubTypes.Type(DispatchEffect.DropTarget.class),
  @JsonSubTypes.Type(DispatchEffect.SendCall.class),
  @JsonSubTypes.Type(DispatchEffect.HedgeCall.class),
  @JsonSubTypes.Type(DispatchEffect.RecordHedge.class),
  @JsonSubTypes.Type(DispatchEffect.WakeAt.class),
  @JsonSubTypes.Type(DispatchEffect.RefuseCall.class),
  @JsonSubTypes.Type(DispatchEffect.DeliverHeldAnswer.class),
  @JsonSubTypes.Type(DispatchEffect.CutCall.class),
  @JsonSubTypes.Type(DispatchEffect.CopyRun.class),
  @JsonSubTypes.Type(DispatchEffect.ReleaseCopy.class),
  @JsonSubTypes.Type(DispatchEffect.AskReport.class),
  @JsonSubTypes.Type(DispatchEffect.ProbeTarget.class),
  @JsonSubTypes.Type(DispatchEffect.TellCrashes.class),
  @JsonSubTypes.Type(DispatchEffect.TellQuarantines.class),
  @JsonSubTypes.Type(DispatchEffect.WatchRate.class),
  @JsonSubTypes.Type(DispatchEffect.TellLimits.class),
  @JsonSubTypes.Type(DispatchEffect.LendShare.class),
  @JsonSubTypes.Type(DispatchEffect.AskPermit.class),
  @JsonSubTypes.Type(DispatchEffect.AnswerPermit.class),
  @JsonSubTypes.Type(DispatchEffect.ReportSpentPermit.class),
  @JsonSubTypes.Type(DispatchEffect.TellPeer.class),
  @JsonSubTypes.Type(DispatchEffect.AccessStore.class),
  @JsonSubTypes.Type(DispatchEffect.TellStoreNews.class),
  @JsonSubTypes.Type(DispatchEffect.PullState.class),
  @JsonSubTypes.Type(DispatchEffect.AnswerPull.class)
})
public interface DispatchEffect extends Effect {

  /**
   * Makes a routing sheet the current sheet.
   *
   * @param sheet the routing sheet
   */
  record UseRoutingSheet(RoutingSheet sheet) implements DispatchEffect {}

  /**
   * Closes the idle connections to a target that is leaving or was replaced.
   *
   * @param target the target
   */
  record DropTarget(RoutedTarget target) implements DispatchEffect {}

  /**
   * Sends a call to a target immediately.
   *
   * @param callId the identifier of the call
   * @param attempt the number of the attempt
   * @param target the target
   * @param kind the kind of the route, which determines whether the call may be repeated
   * @param organisation the caller's organisation
   * @param priority the priority of the call; 0 is the most urgent
   * @param maxConnections the maximum number of connections of this daemon to the target
   * @param sendByMs the time by which it must be sent, in milliseconds; after it the attempt is
   *     reported as outdated instead
   * @param deadlineMs the time at which the target must stop working on it, in milliseconds
   * @param continuation the memory copy from which the run continues; empty for a new run
   */
  record SendCall(
      String callId,
      int attempt,
      RoutedTarget target,
      RouteKind kind,
      Optional<String> organisation,
      int priority,
      int maxConnections,
      long sendByMs,
      long deadlineMs,
      Optional<Continuation> continuation)
      implements DispatchEffect {}

  /**
   * Sends a call to a second target while its attempt at the first one is in progress.
   *
   * @param send the second attempt
   */
  record HedgeCall(SendCall send) implements DispatchEffect {}

  /**
   * Counts a decision on a hedged request in the metrics.
   *
   * @param outcome what was decided, or how it ended
   */
  record RecordHedge(String outcome) implements DispatchEffect {}

  /**
   * Requests a {@link HedgeEvent.WakeUp}, for decisions that are due between two ticks.
   *
   * @param atMs when it is due, in milliseconds
   */
  record WakeAt(long atMs) implements DispatchEffect {}

  /**
   * Refuses a call and cancels any attempt in progress.
   *
   * @param callId the identifier of the call
   * @param verdict whether the call may have run
   * @param reason the reason for the refusal
   * @param message a description for the caller
   * @param retryAfterMs the delay after which the caller should retry, in milliseconds; 0 if a
   *     retry is pointless
   */
  record RefuseCall(
      String callId, Verdict verdict, Reason reason, String message, long retryAfterMs)
      implements DispatchEffect {}

  /**
   * Delivers the error answer of a target that was held while a retry was considered.
   *
   * @param callId the identifier of the call
   */
  record DeliverHeldAnswer(String callId) implements DispatchEffect {}

  /**
   * Cuts an answer of which a part was delivered, so that it cannot be mistaken for a complete one.
   *
   * @param callId the identifier of the call
   * @param reason the reason for the cut
   */
  record CutCall(String callId, Reason reason) implements DispatchEffect {}

  /**
   * Copies the memory of a run to another engine, or updates an earlier copy there.
   *
   * @param callId the identifier of the call
   * @param round the number of the copy
   * @param sourceAddress the address of the engine that executes the run
   * @param destinationAddress the address of the engine that receives the copy
   * @param stop whether the run is stopped before the copy
   * @param deadlineMs the time at which the copy is abandoned, in milliseconds
   */
  record CopyRun(
      String callId,
      int round,
      String sourceAddress,
      String destinationAddress,
      boolean stop,
      long deadlineMs)
      implements DispatchEffect {}

  /**
   * Releases an unused copy at both engines.
   *
   * @param sourceAddress the address of the engine that it was copied from
   * @param handle the handle of the copy
   */
  record ReleaseCopy(String sourceAddress, String handle) implements DispatchEffect {}

  /**
   * Requests a report from an engine, which tells whether it is leaving.
   *
   * @param target the engine
   */
  record AskReport(RoutedTarget target) implements DispatchEffect {}

  /**
   * Opens a connection to a target to find out whether it lives.
   *
   * @param target the target
   */
  record ProbeTarget(RoutedTarget target) implements DispatchEffect {}

  /**
   * Sends what this daemon knows of crashes of targets to another one.
   *
   * @param daemonId the identifier of the other daemon
   * @param address the address of the other daemon
   * @param reports the reports
   */
  record TellCrashes(String daemonId, String address, List<CrashReport> reports)
      implements DispatchEffect {}

  /**
   * Sends what this daemon knows of quarantines to another one.
   *
   * @param daemonId the identifier of the other daemon
   * @param address the address of the other daemon
   * @param quarantines the quarantines
   */
  record TellQuarantines(String daemonId, String address, List<Quarantine> quarantines)
      implements DispatchEffect {}

  /**
   * Starts or stops reporting the absence of a rate from the answers of a target.
   *
   * @param targetId the identity of the target
   * @param watched whether its absence is reported
   */
  record WatchRate(String targetId, boolean watched) implements DispatchEffect {}

  /**
   * Sends what this daemon knows of the rate limits of targets to another one.
   *
   * @param daemonId the identifier of the other daemon
   * @param address the address of the other daemon
   * @param limits the limits in force and those that ended recently
   */
  record TellLimits(String daemonId, String address, List<TargetRateLimit> limits)
      implements DispatchEffect {}

  /**
   * Lends this daemon's share of the rate of a target to its owner.
   *
   * @param daemonId the identifier of the owner
   * @param address the address of the owner
   * @param limit what this daemon knows of the limit
   * @param daemons the highest number of daemons that this daemon has seen
   */
  record LendShare(String daemonId, String address, TargetRateLimit limit, int daemons)
      implements DispatchEffect {}

  /**
   * Asks the owner of a target for a permit to send a call to it.
   *
   * @param daemonId the identifier of the owner
   * @param address the address of the owner
   * @param limit what this daemon knows of the limit
   * @param callId the identifier of the call
   * @param latestStartMs the latest useful start of the permit, in milliseconds
   * @param coldUntilMs until when the target is known to be cold, in milliseconds; empty if it is
   *     not
   */
  record AskPermit(
      String daemonId,
      String address,
      TargetRateLimit limit,
      String callId,
      long latestStartMs,
      OptionalLong coldUntilMs)
      implements DispatchEffect {}

  /**
   * Answers a daemon that asked for a permit.
   *
   * @param daemonId the identifier of the daemon
   * @param address the address of the daemon
   * @param callId the identifier of its call
   * @param targetId the identity of the target
   * @param granted whether the permit is granted
   * @param atMs when the call may be sent, or when its caller should return, in milliseconds
   */
  record AnswerPermit(
      String daemonId, String address, String callId, String targetId, boolean granted, long atMs)
      implements DispatchEffect {}

  /**
   * Informs the owner of a target of a request that was sent without asking for a permit.
   *
   * @param daemonId the identifier of the owner
   * @param address the address of the owner
   * @param limit what this daemon knows of the limit
   */
  record ReportSpentPermit(String daemonId, String address, TargetRateLimit limit)
      implements DispatchEffect {}

  /**
   * Changes how this daemon accesses the store, or reads it once.
   *
   * @param access the access
   */
  record AccessStore(StoreAccess access) implements DispatchEffect {}

  /**
   * Passes on what this daemon learned of the store.
   *
   * @param daemonId the identifier of the other daemon
   * @param address the address of the other daemon
   * @param news what it learned
   */
  record TellStoreNews(String daemonId, String address, StoreNews news) implements DispatchEffect {}

  /**
   * Sends the state of this daemon to another one.
   *
   * @param daemonId the identifier of the other daemon
   * @param address the address of the other daemon
   * @param sheetRevision the revision of this daemon's routing sheet; 0 for none
   * @param targetsRevision the revision of this daemon's target list; 0 for none
   * @param uses the use of targets by this daemon, by target identifier
   * @param leaving the identifiers of targets recently seen to be leaving
   * @param outcomes the recent outcomes of the targets that failed, by target identifier
   * @param sheetVersion the version of this daemon's routing sheet; 0 for none
   * @param sum whether uses and outcomes are those of all daemons but the receiver, as added up by
   *     a relay, rather than those of one daemon or zone
   * @param daemons the highest number of daemons seen alive at once
   * @param fleet what is told beside; summed up like uses and outcomes
   */
  record TellPeer(
      String daemonId,
      String address,
      long sheetRevision,
      long targetsRevision,
      Map<String, TargetUse> uses,
      List<String> leaving,
      Map<String, TargetOutcomes> outcomes,
      long sheetVersion,
      boolean sum,
      int daemons,
      FleetState fleet)
      implements DispatchEffect {}

  /**
   * Requests the routing sheet or the target list of another daemon.
   *
   * @param daemonId the identifier of the other daemon
   * @param address the address of the other daemon
   * @param sheet whether the routing sheet is requested
   * @param targets whether the target list is requested
   */
  record PullState(String daemonId, String address, boolean sheet, boolean targets)
      implements DispatchEffect {}

  /**
   * Answers a request of another daemon for the routing sheet or the target list.
   *
   * @param daemonId the identifier of the other daemon
   * @param address the address of the other daemon
   * @param sheet the routing sheet; empty if not requested or not available
   * @param targetsRevision the revision of the target list
   * @param targets the target list; empty if not requested or not available
   * @param maintenance the zones in maintenance, which belong to the sheet; empty if unknown
   */
  record AnswerPull(
      String daemonId,
      String address,
      Optional<RoutingSheet> sheet,
      long targetsRevision,
      Optional<List<RoutedTarget>> targets,
      Optional<ZoneMaintenance> maintenance)
      implements DispatchEffect {}
}
