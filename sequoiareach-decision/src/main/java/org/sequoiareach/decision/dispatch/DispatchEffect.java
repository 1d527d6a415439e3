package org.sequoiareach.decision.dispatch;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.TargetUse;

/** Is something that is to be done for a routed request, or told to other daemons. */
@JsonSubTypes({
  @JsonSubTypes.Type(DispatchEffect.UseRoutingSheet.class),
  @JsonSubTypes.Type(DispatchEffect.DropTarget.class),
  @JsonSubTypes.Type(DispatchEffect.SendCall.class),
  @JsonSubTypes.Type(DispatchEffect.RefuseCall.class),
  @JsonSubTypes.Type(DispatchEffect.DeliverHeldAnswer.class),
  @JsonSubTypes.Type(DispatchEffect.CutCall.class),
  @JsonSubTypes.Type(DispatchEffect.CopyRun.class),
  @JsonSubTypes.Type(DispatchEffect.ReleaseCopy.class),
  @JsonSubTypes.Type(DispatchEffect.AskReport.class),
  @JsonSubTypes.Type(DispatchEffect.TellPeer.class),
  @JsonSubTypes.Type(DispatchEffect.PullState.class),
  @JsonSubTypes.Type(DispatchEffect.AnswerPull.class)
})
public interface DispatchEffect extends Effect {

  /**
   * Puts a sheet into force.
   *
   * @param sheet the sheet
   */
  record UseRoutingSheet(RoutingSheet sheet) implements DispatchEffect {}

  /**
   * Closes idle connections to a target that takes no more work.
   *
   * @param target the target
   */
  record DropTarget(RoutedTarget target) implements DispatchEffect {}

  /**
   * Sends a request to a target, now.
   *
   * @param callId the request
   * @param attempt the number of the attempt
   * @param target the target
   * @param kind what may be repeated
   * @param organisation the caller's organisation
   * @param priority the rank of the request; 0 is the most urgent
   * @param maxConnections the most connections that this daemon may have to the target
   * @param sendByMs when it must have been sent; later the host reports it as outdated
   * @param deadlineMs when the target must stop working on it
   * @param continuation the memory from which a run goes on; empty for a new run
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
   * Answers a request without an answer of a target, and stops any attempt.
   *
   * @param callId the request
   * @param verdict whether it may have run
   * @param reason why it is refused
   * @param message a sentence for the caller
   * @param retryAfterMs when another attempt makes sense; 0 where none does
   */
  record RefuseCall(
      String callId, Verdict verdict, Reason reason, String message, long retryAfterMs)
      implements DispatchEffect {}

  /**
   * Passes on the answer that was kept when an attempt failed by an error of its target.
   *
   * @param callId the request
   */
  record DeliverHeldAnswer(String callId) implements DispatchEffect {}

  /**
   * Breaks off an answer of which a part was passed on, so that it cannot look whole.
   *
   * @param callId the request
   * @param reason why
   */
  record CutCall(String callId, Reason reason) implements DispatchEffect {}

  /**
   * Copies the memory of a run to another engine. A copy that was made before is brought up to
   * date.
   *
   * @param callId the request
   * @param round the number of the copy
   * @param sourceAddress the engine that runs it
   * @param destinationAddress the engine that is to hold the copy
   * @param stop whether the run stops before the copy
   * @param deadlineMs when to give up
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
   * Frees a copy that will not be used, at both engines.
   *
   * @param sourceAddress the engine that it was copied from
   * @param handle the copy
   */
  record ReleaseCopy(String sourceAddress, String handle) implements DispatchEffect {}

  /**
   * Asks an engine whether it is leaving.
   *
   * @param target the engine
   */
  record AskReport(RoutedTarget target) implements DispatchEffect {}

  /**
   * Tells another daemon what this one holds and has in hand.
   *
   * @param daemonId the daemon
   * @param address its address
   * @param sheetRevision the revision of the sheet held; 0 for none
   * @param targetsRevision the revision of the list of targets held; 0 for none
   * @param uses the use of targets
   * @param leaving the targets that were lately seen to leave
   */
  record TellPeer(
      String daemonId,
      String address,
      long sheetRevision,
      long targetsRevision,
      Map<String, TargetUse> uses,
      List<String> leaving)
      implements DispatchEffect {}

  /**
   * Asks another daemon for its sheet and its list of targets.
   *
   * @param daemonId the daemon
   * @param address its address
   * @param sheet whether the sheet is wanted
   * @param targets whether the list of targets is wanted
   */
  record PullState(String daemonId, String address, boolean sheet, boolean targets)
      implements DispatchEffect {}

  /**
   * Sends another daemon what it asked for.
   *
   * @param daemonId the daemon
   * @param address its address
   * @param sheet the sheet; empty where it is not wanted or there is none
   * @param targetsRevision the revision of the list of targets
   * @param targets the list of targets; empty where it is not wanted or there is none
   */
  record AnswerPull(
      String daemonId,
      String address,
      Optional<RoutingSheet> sheet,
      long targetsRevision,
      Optional<List<RoutedTarget>> targets)
      implements DispatchEffect {}
}
