package org.sequoiareach.daemon.attempt;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import reactor.core.publisher.Flux;

/** Sends attempts to the daemons that own their targets. Thread-safe. */
public interface AttemptForwarder {

  /**
   * Sends an attempt and reads its answer.
   *
   * @param forward the attempt and its owner
   * @param content what is sent to the target
   * @return the parts of the answer; fails with {@link
   *     org.sequoiareach.model.request.RequestFailedException}
   */
  Flux<AnswerPart> forward(Effect.Forward forward, RequestContent content);

  /**
   * Tells the owner that an attempt is no longer read.
   *
   * @param attemptId the attempt
   * @param keepGeneration whether a generation that runs goes on
   */
  void stop(String attemptId, boolean keepGeneration);
}
