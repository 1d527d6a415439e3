package org.sequoiareach.load.run;

import org.sequoiareach.load.check.RequestResult;
import reactor.core.publisher.Mono;

/** Sends one kind of requests. Implementations are thread-safe. */
interface RequestSender {

  /**
   * Sends a request and follows it to its end.
   *
   * @param request the request
   * @return what its caller saw; never an error
   */
  Mono<RequestResult> send(OutgoingRequest request);
}
