package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.sequoiareach.decision.dispatch.CallProfile;

/** Receives whole requests. Called on the traffic thread. */
@FunctionalInterface
public interface CallReceiver {

  /**
   * A whole request was read.
   *
   * @param profile what it says of itself
   * @param request its head
   * @param body its body, to be released by the receiver
   * @param answer where its answer goes
   * @return what is to be told if the caller leaves
   */
  Runnable receive(CallProfile profile, HttpRequest request, ByteBuf body, CallAnswer answer);
}
