package org.sequoiareach.load.run;

import org.sequoiareach.load.check.RequestResult;
import reactor.core.publisher.Mono;

/** Sends requests of one kind. Implementations are thread-safe. */
interface RequestSender {

  /**
   * Sends a request and processes its response.
   *
   * @param request the request
   * @return the result as observed by the client; failures are part of the result, never an error
   *     signal
   */
  Mono<RequestResult> send(OutgoingRequest request);
}
