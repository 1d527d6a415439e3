package org.sequoiareach.daemon.attempt;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import reactor.core.publisher.Flux;

/** Forwards attempts to the daemons that own their targets. Thread-safe. */
public interface AttemptForwarder {

  /**
   * Forwards an attempt and reads its answer.
   *
   * @param forward the attempt and the daemon that owns its target
   * @param content the request as it is sent to the target
   * @return the parts of the answer; fails with {@link
   *     org.sequoiareach.model.request.RequestFailedException}
   */
  Flux<AnswerPart> forward(Effect.Forward forward, RequestContent content);

  /**
   * Notifies the owner that the answer of an attempt is no longer read.
   *
   * @param attemptId the attempt
   * @param keepGeneration whether a running generation continues, so that it can be resumed
   */
  void stop(String attemptId, boolean keepGeneration);
}
