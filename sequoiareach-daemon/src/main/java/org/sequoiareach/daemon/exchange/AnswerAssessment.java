package org.sequoiareach.daemon.exchange;

import java.util.Optional;
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.decision.dispatch.AttemptFault;

/**
 * Assesses what the head of an answer proves about the attempt on whose connection it arrived.
 *
 * <p>An answer proves something about a request only if it names that request: a connection may be
 * one answer behind, in which case every answer on it belongs to an earlier request.
 */
enum AnswerAssessment {
  /** The answer names another request or none, so it proves nothing about this one. */
  UNATTRIBUTED(AttemptFault.BROKEN_ANSWER),
  /** The target states that it did not run the request. */
  REJECTED(AttemptFault.REJECTED),
  /** A target other than the addressed one answered, without running the request. */
  WRONG_TARGET(AttemptFault.WRONG_TARGET),
  /** The status implies that the request has not run, but the target does not state so. */
  UNCONFIRMED_REJECTION(AttemptFault.UNCONFIRMED_REJECTION),
  /** The body has a content encoding, so it is not as the target produced it. */
  ENCODED(AttemptFault.BROKEN_ANSWER),
  /** The target's own answer to the request. */
  OWN_ANSWER(null);

  private final Optional<AttemptFault> fault;

  AnswerAssessment(AttemptFault fault) {
    this.fault = Optional.ofNullable(fault);
  }

  /** Assesses the head of an answer that arrived while a request was in progress. */
  static AnswerAssessment of(AnswerHead head, String requestId) {
    if (head.requestId().filter(requestId::equals).isEmpty()) {
      return UNATTRIBUTED;
    }
    if (head.otherTarget()) {
      return WRONG_TARGET;
    }
    if (head.rejected()) {
      return REJECTED;
    }
    if (head.impliesNotRun()) {
      return UNCONFIRMED_REJECTION;
    }
    return head.encoded() ? ENCODED : OWN_ANSWER;
  }

  /** Returns the fault that the answer amounts to; empty if it is to be processed. */
  Optional<AttemptFault> fault() {
    return fault;
  }

  /** Returns whether the answer proves that its target has not run the request. */
  boolean provesNotRun() {
    return this == REJECTED || this == WRONG_TARGET;
  }

  /** Returns whether the addressed target itself answers this request. */
  boolean isFromAddressedTarget() {
    return this != UNATTRIBUTED && this != WRONG_TARGET;
  }

  /** Returns whether the answer is read to its end but not forwarded. */
  boolean isDiscarded() {
    return provesNotRun() || this == UNCONFIRMED_REJECTION;
  }
}
