package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.sequoiareach.decision.dispatch.CallProfile;

/** Handles complete requests. Called on the event loop. */
@FunctionalInterface
public interface RequestHandler {

  /**
   * Handles a request that was read completely.
   *
   * @param profile the properties that the dialect read from the head
   * @param request the request head
   * @param body the request body, which the handler releases
   * @param response writes the response
   * @return a callback that is run if the caller disconnects before the response has ended
   */
  Runnable handleRequest(
      CallProfile profile, HttpRequest request, ByteBuf body, ResponseWriter response);

  /**
   * Observes whether parts of ended responses wait for callers to read them.
   *
   * @param unsent true when the first response waits, false when the last one was sent or given up
   */
  default void onResponsesUnsent(boolean unsent) {}
}
