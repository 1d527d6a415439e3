package org.sequoiareach.daemon.attempt;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.model.request.RequestKind;
import reactor.core.publisher.Flux;

/**
 * Receives the answers of the attempts at one request and delivers them to a caller of this daemon
 * or to the daemon that forwarded the attempt.
 */
public interface AnswerReceiver {

  /**
   * Returns the kind of request.
   *
   * @return the kind
   */
  RequestKind kind();

  /**
   * Returns the request as it is sent to the target.
   *
   * @return the content
   */
  RequestContent content();

  /**
   * Accepts a part for delivery if it was not delivered before, follows the last delivered part and
   * belongs to the generation being delivered. An accepted part counts as delivered.
   *
   * @param part the part
   * @return false if the part must be dropped
   */
  boolean tryAccept(AnswerPart.Data part);

  /**
   * Verifies at the end of an attempt that no part is missing.
   *
   * @param attemptId the attempt
   * @param end the end of its answer
   * @throws org.sequoiareach.model.request.RequestFailedException if the last delivered part is not
   *     the last part of the attempt
   */
  void verifyComplete(String attemptId, AnswerPart.End end);

  /**
   * Returns the sequence number of the last delivered part of an attempt.
   *
   * @param attemptId the attempt
   * @return the sequence number; 0 if no part of the attempt was delivered
   */
  long lastSequence(String attemptId);

  /**
   * Adds an attempt, which is subscribed to once the previous attempt has ended.
   *
   * @param attempt the parts of the attempt's answer
   */
  void addAttempt(Flux<AnswerPart> attempt);
}
