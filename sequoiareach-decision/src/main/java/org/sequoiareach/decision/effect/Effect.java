package org.sequoiareach.decision.effect;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.sequoiareach.decision.budget.LedgerEntry;
import org.sequoiareach.decision.budget.TokenAmount;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.Sheet;

/** Action that a reducer asks its host to perform; written as JSON under its simple class name. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "effect")
@JsonSubTypes({
  @JsonSubTypes.Type(Effect.Dispatch.class),
  @JsonSubTypes.Type(Effect.Resume.class),
  @JsonSubTypes.Type(Effect.UseSheet.class),
  @JsonSubTypes.Type(Effect.UseVms.class),
  @JsonSubTypes.Type(Effect.Forward.class),
  @JsonSubTypes.Type(Effect.RejectForwarded.class),
  @JsonSubTypes.Type(Effect.CancelAttempt.class),
  @JsonSubTypes.Type(Effect.ReleaseAttempt.class),
  @JsonSubTypes.Type(Effect.PublishHint.class),
  @JsonSubTypes.Type(Effect.Claim.class),
  @JsonSubTypes.Type(Effect.SettleClaim.class),
  @JsonSubTypes.Type(Effect.WriteLedger.class),
  @JsonSubTypes.Type(Effect.FailRequest.class),
  @JsonSubTypes.Type(Effect.PollLoads.class),
  @JsonSubTypes.Type(Effect.ReadPlatform.class),
  @JsonSubTypes.Type(Effect.SetReady.class),
  @JsonSubTypes.Type(Effect.Stop.class),
  @JsonSubTypes.Type(Effect.LogDecision.class)
})
public interface Effect {

  /**
   * Sends an attempt from this daemon to a target immediately. A host that was paused must not send
   * it after {@code sendByMs}, because the state of the target may have changed since the decision.
   *
   * @param attemptId the attempt
   * @param requestId the request
   * @param targetId the target
   * @param address the target's address
   * @param enginePriority the priority passed to the engine; lower values are served first
   * @param sendByMs the latest time to send on this daemon's clock; after it the host reports the
   *     attempt as not run
   * @param deadlineMs the request's deadline, on this daemon's clock
   */
  record Dispatch(
      String attemptId,
      String requestId,
      String targetId,
      String address,
      int enginePriority,
      long sendByMs,
      long deadlineMs)
      implements Effect {}

  /**
   * Continues reading the generation of an attempt whose connection was lost, directly from its
   * target. Tokens follow the last one received and come from the same generation, never a new one.
   *
   * @param attemptId the attempt
   * @param requestId the request
   * @param targetId the target
   * @param address the target's address
   * @param notBeforeMs the earliest time to connect, on this daemon's clock
   * @param deadlineMs the request's deadline, on this daemon's clock
   */
  record Resume(
      String attemptId,
      String requestId,
      String targetId,
      String address,
      long notBeforeMs,
      long deadlineMs)
      implements Effect {}

  /**
   * Replaces the sheet used for authentication and for new requests.
   *
   * @param sheet the sheet
   */
  record UseSheet(Sheet sheet) implements Effect {}

  /**
   * Replaces the VM list used to find the targets of stored answers.
   *
   * @param vms the VMs
   */
  record UseVms(List<VmEntry> vms) implements Effect {}

  /**
   * Sends an attempt to the daemon that owns the target.
   *
   * @param attemptId the attempt
   * @param daemonId the owner
   * @param targetId the target
   * @param spec the request
   * @param priority the organisation's priority
   * @param sheetVersion the version of the sheet the request was admitted under
   * @param deadlineMs the request's deadline, on this daemon's clock
   */
  record Forward(
      String attemptId,
      String daemonId,
      String targetId,
      RequestSpec spec,
      int priority,
      long sheetVersion,
      long deadlineMs)
      implements Effect {}

  /**
   * Reports to the daemon that forwarded an attempt that it did not run and will not run.
   *
   * @param attemptId the attempt
   * @param daemonId the daemon that forwarded it
   * @param reason the reason
   * @param message a description of the failure
   * @param retryAfterMs the delay before another attempt in milliseconds; 0 if none is useful
   */
  record RejectForwarded(
      String attemptId, String daemonId, Reason reason, String message, long retryAfterMs)
      implements Effect {}

  /**
   * Cancels an attempt, wherever it runs, and frees its resources on the target.
   *
   * @param attemptId the attempt
   */
  record CancelAttempt(String attemptId) implements Effect {}

  /**
   * Stops reading an attempt but keeps its generation running, because its caller may resume it.
   *
   * @param attemptId the attempt
   */
  record ReleaseAttempt(String attemptId) implements Effect {}

  /**
   * Replaces the load hint of a target that is attached to answers for other daemons.
   *
   * @param hint the load hint
   */
  record PublishHint(LoadHint hint) implements Effect {}

  /**
   * Claims the idempotency key of a request in the key-value service.
   *
   * @param requestId the request, which identifies the author of the claim
   * @param organisation the organisation within which the key is unique
   * @param service the service within which the key is unique
   * @param idempotencyKey the key
   * @param deadlineMs the time at which the host gives up the claim, on this daemon's clock
   */
  record Claim(
      String requestId, String organisation, String service, String idempotencyKey, long deadlineMs)
      implements Effect {}

  /**
   * Settles a claim: releases the key of a request that certainly did not run, or marks the key of
   * a request that ran as finished. The host retries until it succeeds or the claim expires.
   *
   * @param requestId the request that holds the claim
   * @param organisation the organisation
   * @param service the service
   * @param idempotencyKey the key
   * @param verdict whether the request ran
   */
  record SettleClaim(
      String requestId, String organisation, String service, String idempotencyKey, Verdict verdict)
      implements Effect {}

  /**
   * Applies an entry to an organisation's ledger of the day in the key-value service by
   * compare-and-swap. The write is idempotent: an entry that was applied before has no effect.
   *
   * @param organisation the organisation
   * @param day the day, as in {@code 2026-12-03}
   * @param entry the entry
   * @param plan the organisation's daily plan
   */
  record WriteLedger(String organisation, String day, LedgerEntry entry, TokenAmount plan)
      implements Effect {}

  /**
   * Answers a request with its final failure. If tokens were already delivered, the stream ends
   * with an error.
   *
   * @param requestId the request
   * @param verdict whether the request may have run
   * @param reason the reason
   * @param message a description for the caller
   * @param retryAfterMs the delay before another attempt in milliseconds; 0 if none is useful
   */
  record FailRequest(
      String requestId, Verdict verdict, Reason reason, String message, long retryAfterMs)
      implements Effect {}

  /**
   * Replaces the set of engines whose load is polled.
   *
   * @param addresses the addresses by target id
   */
  record PollLoads(Map<String, String> addresses) implements Effect {}

  /**
   * Reads the sheet and the VM list immediately instead of at the next regular read.
   *
   * @param why the reason for the log
   */
  record ReadPlatform(String why) implements Effect {}

  /**
   * Publishes to the load balancer whether this daemon accepts callers.
   *
   * @param ready whether the daemon accepts callers
   * @param why the reason if it does not, otherwise empty
   */
  record SetReady(boolean ready, String why) implements Effect {}

  /** Ends the process: nothing is in progress any more, or the drain deadline has passed. */
  record Stop() implements Effect {}

  /**
   * Writes an entry to the decision log.
   *
   * @param decision the kind of decision, such as {@code route} or {@code refuse}
   * @param requestId the request; empty if none
   * @param organisation the organisation; empty if none
   * @param targetId the target chosen; empty if none
   * @param sheetVersion the version of the sheet that applied
   * @param reason the reason for the decision
   * @param losers the rejected candidates with their scores
   */
  record LogDecision(
      String decision,
      String requestId,
      String organisation,
      String targetId,
      long sheetVersion,
      String reason,
      List<String> losers)
      implements Effect {}
}
