package org.sequoiareach.daemon.attempt;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.model.request.RequestKind;
import reactor.core.publisher.Flux;

/** Takes the answers of attempts: for a caller of this daemon, or for another daemon. */
public interface AnswerReceiver {

  /**
   * Returns the kind of work.
   *
   * @return the kind
   */
  RequestKind kind();

  /**
   * Returns what is sent to the target.
   *
   * @return the content
   */
  RequestContent content();

  /**
   * Tells whether a part may be delivered: it was not delivered before, follows the part before it,
   * and belongs to the generation that the answer is bound to.
   *
   * @param part the part
   * @return false if it is to be dropped
   */
  boolean admits(AnswerPart.Data part);

  /**
   * Checks at the end of an answer that no part is missing.
   *
   * @param attemptId the attempt
   * @param end the end
   * @throws org.sequoiareach.model.request.RequestFailedException if the last part is not the one
   *     that the end names
   */
  void requireWhole(String attemptId, AnswerPart.End end);

  /**
   * Returns the place of the last part delivered.
   *
   * @param attemptId the attempt
   * @return the sequence; 0 if no part of the attempt was delivered
   */
  long lastSequence(String attemptId);

  /**
   * Adds an attempt, subscribed to when the one before it has ended.
   *
   * @param attempt the parts of the attempt's answer
   */
  void add(Flux<AnswerPart> attempt);
}
