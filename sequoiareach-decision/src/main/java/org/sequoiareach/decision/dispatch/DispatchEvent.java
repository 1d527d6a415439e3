package org.sequoiareach.decision.dispatch;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.route.FleetState;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.StatedRate;
import org.sequoiareach.model.route.StoreNews;
import org.sequoiareach.model.route.TargetOutcomes;
import org.sequoiareach.model.route.TargetRateLimit;
import org.sequoiareach.model.route.TargetUpdate;
import org.sequoiareach.model.route.TargetUse;

/**
 * An event of the dispatch: a change of a call, or an update of the state that routing depends on.
 *
 * <p>The simple names of the records and their components are the JSON format of recorded sessions.
 */
@JsonSubTypes({
  @JsonSubTypes.Type(DispatchEvent.SheetLearned.class),
  @JsonSubTypes.Type(DispatchEvent.TargetsListed.class),
  @JsonSubTypes.Type(DispatchEvent.TargetChanged.class),
  @JsonSubTypes.Type(DispatchEvent.TargetRemoved.class),
  @JsonSubTypes.Type(DispatchEvent.TargetLeaves.class),
  @JsonSubTypes.Type(DispatchEvent.LeavingAnnounced.class),
  @JsonSubTypes.Type(DispatchEvent.BackoffRequested.class),
  @JsonSubTypes.Type(DispatchEvent.NobodyThere.class),
  @JsonSubTypes.Type(DispatchEvent.StoreSeen.class),
  @JsonSubTypes.Type(DispatchEvent.StoreRestored.class),
  @JsonSubTypes.Type(DispatchEvent.SettingsChanged.class),
  @JsonSubTypes.Type(DispatchEvent.CallArrived.class),
  @JsonSubTypes.Type(DispatchEvent.AnswerStarted.class),
  @JsonSubTypes.Type(StreamEvent.StreamProgressed.class),
  @JsonSubTypes.Type(DispatchEvent.AnswerDelivered.class),
  @JsonSubTypes.Type(DispatchEvent.AnswersUnsent.class),
  @JsonSubTypes.Type(HedgeEvent.AttemptWon.class),
  @JsonSubTypes.Type(HedgeEvent.WakeUp.class),
  @JsonSubTypes.Type(DispatchEvent.AttemptFailed.class),
  @JsonSubTypes.Type(DispatchEvent.CallerLeft.class),
  @JsonSubTypes.Type(DispatchEvent.TargetProbed.class),
  @JsonSubTypes.Type(DispatchEvent.CrashesTold.class),
  @JsonSubTypes.Type(DispatchEvent.QuarantinesTold.class),
  @JsonSubTypes.Type(DispatchEvent.RateStated.class),
  @JsonSubTypes.Type(DispatchEvent.LimitsTold.class),
  @JsonSubTypes.Type(DispatchEvent.ShareLent.class),
  @JsonSubTypes.Type(DispatchEvent.PermitAsked.class),
  @JsonSubTypes.Type(DispatchEvent.PermitAnswered.class),
  @JsonSubTypes.Type(DispatchEvent.PermitSpent.class),
  @JsonSubTypes.Type(DispatchEvent.RunCopied.class),
  @JsonSubTypes.Type(DispatchEvent.PeerStateTold.class),
  @JsonSubTypes.Type(DispatchEvent.TargetsUpdated.class),
  @JsonSubTypes.Type(AvailabilityEvent.MaintenanceLearned.class),
  @JsonSubTypes.Type(AvailabilityEvent.ColdStated.class),
  @JsonSubTypes.Type(AvailabilityEvent.ReportInvalid.class),
  @JsonSubTypes.Type(DispatchEvent.StoreRead.class),
  @JsonSubTypes.Type(DispatchEvent.StoreNewsTold.class),
  @JsonSubTypes.Type(DispatchEvent.ClockSuspended.class),
  @JsonSubTypes.Type(DispatchEvent.PeerPulled.class)
})
public interface DispatchEvent extends Event {

  /**
   * A routing sheet was received.
   *
   * @param nowMs when it was observed
   * @param sheet the routing sheet
   * @param source its source: the store or the identifier of a daemon
   */
  record SheetLearned(long nowMs, RoutingSheet sheet, String source) implements DispatchEvent {}

  /**
   * The complete target list was received.
   *
   * @param nowMs when it was observed
   * @param revision the revision of the list
   * @param targets all targets
   * @param source its source: the store or the identifier of a daemon
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
   * @param targetId the identifier of the target
   */
  record TargetRemoved(long nowMs, long revision, String targetId) implements DispatchEvent {}

  /**
   * Entries of targets were written or removed.
   *
   * @param nowMs when it was observed
   * @param afterRevision the position after which the updates are complete; empty if they follow
   *     what this daemon holds
   * @param updates the writes and removals in the order of their positions
   * @param source their source: the store or the identifier of a daemon
   */
  record TargetsUpdated(
      long nowMs, OptionalLong afterRevision, List<TargetUpdate> updates, String source)
      implements DispatchEvent {}

  /**
   * The sheet or the targets were read from the store, after what was read was posted.
   *
   * @param nowMs when it was observed
   * @param sheet whether the sheet was read; otherwise the targets
   * @param asOfMs a time at which the store held nothing newer, in milliseconds
   */
  record StoreRead(long nowMs, boolean sheet, long asOfMs) implements DispatchEvent {}

  /**
   * Another daemon passed on what it learned of the store.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param sentMs when it was sent, in milliseconds of the clock of the other daemon
   * @param news what it learned
   */
  record StoreNewsTold(long nowMs, String daemonId, long sentMs, StoreNews news)
      implements DispatchEvent {}

  /**
   * The VM was suspended, so that ages reckoned before are too low.
   *
   * @param nowMs when it was observed
   */
  record ClockSuspended(long nowMs) implements DispatchEvent {}

  /**
   * A target reported that it is leaving.
   *
   * @param nowMs when it was observed
   * @param targetId the identifier of the target
   */
  record TargetLeaves(long nowMs, String targetId) implements DispatchEvent {}

  /**
   * A target announced in an answer that it is leaving.
   *
   * @param nowMs when it was observed
   * @param target the target, in the incarnation to which the request was sent
   * @param requestId the request that it answered
   */
  record LeavingAnnounced(long nowMs, RoutedTarget target, String requestId)
      implements DispatchEvent {}

  /**
   * A target asked to be sent nothing until a time.
   *
   * @param nowMs when it was observed
   * @param targetId the identifier of the target
   * @param untilMs the end of the backoff, in milliseconds
   * @param source the request that it answered, or "report"
   */
  record BackoffRequested(long nowMs, String targetId, long untilMs, String source)
      implements DispatchEvent {}

  /**
   * No process listens at a target's address.
   *
   * @param nowMs when it was observed
   * @param targetId the identifier of the target
   */
  record NobodyThere(long nowMs, String targetId) implements DispatchEvent {}

  /**
   * A request to the store succeeded or failed.
   *
   * @param nowMs when it was observed
   * @param reachable whether the store responded
   */
  record StoreSeen(long nowMs, boolean reachable) implements DispatchEvent {}

  /**
   * The store was restored from an older copy, so its entries may be older than what is known.
   *
   * @param nowMs when it was observed
   * @param from the last position seen before the restore
   * @param to the position of the next list of targets
   */
  record StoreRestored(long nowMs, String from, String to) implements DispatchEvent {}

  /**
   * The settings were reloaded.
   *
   * @param nowMs when it was observed
   * @param settings the new settings
   */
  record SettingsChanged(long nowMs, DispatchSettings settings) implements DispatchEvent {}

  /**
   * A complete request was received.
   *
   * @param nowMs when it was observed
   * @param callId the identifier that the daemon assigned to the call
   * @param profile the request
   * @param content identifies the method, path and body of the request; empty if unknown
   */
  record CallArrived(long nowMs, String callId, CallProfile profile, Optional<String> content)
      implements DispatchEvent {

    /** Copies the event with the time at which a held call is processed. */
    CallArrived at(long processedMs) {
      return new CallArrived(processedMs, callId, profile, content);
    }
  }

  /**
   * The first part of an answer's body was received.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param attempt the number of the attempt
   */
  record AnswerStarted(long nowMs, String callId, int attempt) implements DispatchEvent {}

  /**
   * A complete answer was delivered to the caller.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param attempt the number of the attempt
   * @param status the HTTP status of the answer
   * @param detail how the answer ended, for the log; empty if unknown
   */
  record AnswerDelivered(long nowMs, String callId, int attempt, int status, String detail)
      implements DispatchEvent {

    /** Recorded sessions may lack the detail. */
    public AnswerDelivered {
      detail = detail == null ? "" : detail;
    }
  }

  /**
   * Callers that read slowly left parts of delivered answers unsent, or have taken all of them.
   *
   * @param nowMs when it was observed
   * @param unsent whether parts are unsent
   */
  record AnswersUnsent(long nowMs, boolean unsent) implements DispatchEvent {}

  /**
   * An attempt failed.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param attempt the number of the attempt
   * @param fault the kind of failure
   * @param retryAfterMs the delay after which the target accepts requests again, as reported by the
   *     target, in milliseconds; 0 if not reported
   * @param started whether a part of its answer was delivered
   * @param disconnected whether the connection to the target broke off
   * @param detail a description of the failure for the log
   */
  record AttemptFailed(
      long nowMs,
      String callId,
      int attempt,
      AttemptFault fault,
      long retryAfterMs,
      boolean started,
      boolean disconnected,
      String detail)
      implements DispatchEvent {

    /** Copies the event with the time at which a retry is considered. */
    AttemptFailed at(long consideredMs) {
      return new AttemptFailed(
          consideredMs, callId, attempt, fault, retryAfterMs, started, disconnected, detail);
    }
  }

  /**
   * A probe of a target ended.
   *
   * @param nowMs when it was observed
   * @param targetId the identifier of the target
   * @param outcome the outcome
   */
  record TargetProbed(long nowMs, String targetId, ProbeOutcome outcome) implements DispatchEvent {}

  /**
   * Another daemon sent what it knows of crashes of targets.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param reports the reports, with their times converted to the local clock
   */
  record CrashesTold(long nowMs, String daemonId, List<CrashReport> reports)
      implements DispatchEvent {}

  /**
   * Another daemon sent what it knows of quarantines.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param quarantines the quarantines, with their times converted to the local clock
   */
  record QuarantinesTold(long nowMs, String daemonId, List<Quarantine> quarantines)
      implements DispatchEvent {}

  /**
   * The head of a target's own answer to an attempt was received and is relevant to the rate of
   * requests that the target accepts.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param attempt the number of the attempt
   * @param rate the rate that the answer states
   */
  record RateStated(long nowMs, String callId, int attempt, StatedRate rate)
      implements DispatchEvent {}

  /**
   * Another daemon sent what it knows of the rate limits of targets.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param limits the limits, with their times converted to the local clock
   */
  record LimitsTold(long nowMs, String daemonId, List<TargetRateLimit> limits)
      implements DispatchEvent {}

  /**
   * Another daemon lent its share of the rate of a target to this one.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param limit what it knows of the limit
   * @param daemons the highest number of daemons that it has seen
   */
  record ShareLent(long nowMs, String daemonId, TargetRateLimit limit, int daemons)
      implements DispatchEvent {}

  /**
   * Another daemon asked this one for a permit to send a call to a target.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param limit what it knows of the target's limit
   * @param callId its identifier of the call
   * @param latestStartMs the latest useful start of the permit, in milliseconds
   * @param coldUntilMs until when the other daemon knows the target to be cold, in milliseconds;
   *     empty if it does not
   */
  record PermitAsked(
      long nowMs,
      String daemonId,
      TargetRateLimit limit,
      String callId,
      long latestStartMs,
      OptionalLong coldUntilMs)
      implements DispatchEvent {

    /** Recorded sessions may lack the end of the warm-up. */
    public PermitAsked {
      coldUntilMs = coldUntilMs == null ? OptionalLong.empty() : coldUntilMs;
    }
  }

  /**
   * The owner of a target decided on a permit that this daemon asked for.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param targetId the identity of the target
   * @param granted whether the permit was granted
   * @param atMs when the call may be sent, or when its caller should return, in milliseconds
   */
  record PermitAnswered(long nowMs, String callId, String targetId, boolean granted, long atMs)
      implements DispatchEvent {}

  /**
   * Another daemon sent a request to a target without asking for a permit.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param limit what it knows of the target's limit
   */
  record PermitSpent(long nowMs, String daemonId, TargetRateLimit limit) implements DispatchEvent {}

  /**
   * The caller closed its connection before its answer was complete.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   */
  record CallerLeft(long nowMs, String callId) implements DispatchEvent {}

  /**
   * Copying the memory of a run ended.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param round the number of the copy
   * @param outcome the outcome of the copy
   * @param handle the handle of the copy; empty if there is none
   */
  record RunCopied(long nowMs, String callId, int round, CopyOutcome outcome, String handle)
      implements DispatchEvent {}

  /**
   * Another daemon sent its state.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param sheetRevision the revision of its routing sheet; 0 for none
   * @param targetsRevision the revision of its target list; 0 for none
   * @param uses its use of targets, by target identifier
   * @param leaving the identifiers of targets that it recently saw to be leaving
   * @param outcomes its recent outcomes of the targets that failed, by target identifier
   * @param sheetVersion the version of its routing sheet; 0 for none
   * @param sum whether uses and outcomes are those of all daemons but the receiver, as added up by
   *     a relay, rather than those of one daemon or zone
   * @param daemons the highest number of daemons that it has seen alive at once
   * @param fleet what it tells beside; summed up like uses and outcomes
   */
  record PeerStateTold(
      long nowMs,
      String daemonId,
      long sheetRevision,
      long targetsRevision,
      Map<String, TargetUse> uses,
      List<String> leaving,
      Map<String, TargetOutcomes> outcomes,
      long sheetVersion,
      boolean sum,
      int daemons,
      FleetState fleet)
      implements DispatchEvent {

    /** Copies the outcomes; recorded sessions may lack some components. */
    public PeerStateTold {
      outcomes = outcomes == null ? Map.of() : Map.copyOf(outcomes);
      fleet = fleet == null ? FleetState.NONE : fleet;
    }

    /** Creates the state of a daemon that tells nothing beside its use of targets. */
    public PeerStateTold(
        long nowMs,
        String daemonId,
        long sheetRevision,
        long targetsRevision,
        Map<String, TargetUse> uses,
        List<String> leaving,
        Map<String, TargetOutcomes> outcomes,
        long sheetVersion,
        boolean sum,
        int daemons) {
      this(
          nowMs,
          daemonId,
          sheetRevision,
          targetsRevision,
          uses,
          leaving,
          outcomes,
          sheetVersion,
          sum,
          daemons,
          FleetState.NONE);
    }
  }

  /**
   * Another daemon requested the routing sheet or the target list of this one.
   *
   * @param nowMs when it was observed
   * @param daemonId the identifier of the other daemon
   * @param sheet whether the routing sheet is requested
   * @param targets whether the target list is requested
   */
  record PeerPulled(long nowMs, String daemonId, boolean sheet, boolean targets)
      implements DispatchEvent {}
}
