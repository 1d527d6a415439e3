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

/** Is something that the reducer asks its host to do. */
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
   * Sends an attempt to a target from this daemon, now. A host that was paused must not send it
   * late: what was known of the target when the decision was taken no longer holds.
   *
   * @param attemptId the attempt
   * @param requestId the request
   * @param targetId the target
   * @param address the target's address
   * @param enginePriority the priority given to the engine; lower is served first
   * @param sendByMs when it must have been sent; later the host reports it as not run
   * @param deadlineMs when the request must be over, on this daemon's clock
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
   * Reads on from the generation of an attempt whose connection was lost, directly from its target.
   * The same generation is continued after the last token received, never another.
   *
   * @param attemptId the attempt
   * @param requestId the request
   * @param targetId the target
   * @param address the target's address
   * @param notBeforeMs when to connect, on this daemon's clock
   * @param deadlineMs when the request must be over
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
   * Uses a sheet from now on, for authentication and for new requests.
   *
   * @param sheet the sheet
   */
  record UseSheet(Sheet sheet) implements Effect {}

  /**
   * Uses a list of VMs from now on, to find the targets of stored answers.
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
   * Tells the daemon that forwarded an attempt that it did not run and will not.
   *
   * @param attemptId the attempt
   * @param daemonId the daemon that forwarded it
   * @param reason why
   * @param message a sentence on it
   * @param retryAfterMs milliseconds after which another attempt makes sense; 0 where none does
   */
  record RejectForwarded(
      String attemptId, String daemonId, Reason reason, String message, long retryAfterMs)
      implements Effect {}

  /**
   * Stops an attempt, wherever it runs, and frees what it holds on the target.
   *
   * @param attemptId the attempt
   */
  record CancelAttempt(String attemptId) implements Effect {}

  /**
   * Stops reading an attempt but lets its generation go on, as its caller may resume it.
   *
   * @param attemptId the attempt
   */
  record ReleaseAttempt(String attemptId) implements Effect {}

  /**
   * Gives answers to other daemons a summary of a target to carry.
   *
   * @param hint the summary
   */
  record PublishHint(LoadHint hint) implements Effect {}

  /**
   * Claims the idempotency key of a request in the key-value service.
   *
   * @param requestId the request, which identifies the author of the claim
   * @param organisation the organisation within which the key is unique
   * @param service the plain service within which the key is unique
   * @param idempotencyKey the key
   * @param deadlineMs when the claim is given up
   */
  record Claim(
      String requestId, String organisation, String service, String idempotencyKey, long deadlineMs)
      implements Effect {}

  /**
   * Settles a claim: a request that certainly did not run gives its key back; one that ran marks it
   * finished. The host tries until it succeeds or the claim expires.
   *
   * @param requestId the request that holds the claim
   * @param organisation the organisation
   * @param service the plain service
   * @param idempotencyKey the key
   * @param verdict what became of the request
   */
  record SettleClaim(
      String requestId, String organisation, String service, String idempotencyKey, Verdict verdict)
      implements Effect {}

  /**
   * Writes a change of the ledger of an organisation's day to the key-value service, by
   * compare-and-swap. A change that was applied before is recognised and not applied again.
   *
   * @param organisation the organisation
   * @param day the day
   * @param entry the change
   * @param plan the plan in force
   */
  record WriteLedger(String organisation, String day, LedgerEntry entry, TokenAmount plan)
      implements Effect {}

  /**
   * Gives a request its final answer at once: a failure. Where tokens were already delivered the
   * stream ends with an error.
   *
   * @param requestId the request
   * @param verdict whether it may have run
   * @param reason why it failed
   * @param message a sentence for the caller
   * @param retryAfterMs milliseconds after which another attempt makes sense; 0 where none does
   */
  record FailRequest(
      String requestId, Verdict verdict, Reason reason, String message, long retryAfterMs)
      implements Effect {}

  /**
   * Replaces the set of engines whose load is asked for.
   *
   * @param addresses addresses by target
   */
  record PollLoads(Map<String, String> addresses) implements Effect {}

  /**
   * Asks for the sheet and the list of VMs to be read now, not at their usual period.
   *
   * @param why the reason, for the log
   */
  record ReadPlatform(String why) implements Effect {}

  /**
   * Tells the balancer whether this daemon takes callers.
   *
   * @param ready whether it does
   * @param why the reason where it does not
   */
  record SetReady(boolean ready, String why) implements Effect {}

  /** Ends the process: nothing is left in progress, or the final deadline has passed. */
  record Stop() implements Effect {}

  /**
   * Writes one line to the log of decisions.
   *
   * @param decision the kind of decision, such as {@code route} or {@code refuse}
   * @param requestId the request; empty where there is none
   * @param organisation the organisation; empty where there is none
   * @param targetId the target chosen; empty where there is none
   * @param sheetVersion the version of the sheet that applied
   * @param reason why
   * @param losers scores of the candidates that lost, in short
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
