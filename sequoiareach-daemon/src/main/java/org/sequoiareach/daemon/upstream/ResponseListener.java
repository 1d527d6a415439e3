package org.sequoiareach.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. Called on the event loop; {@link #onComplete}, {@link
 * #onFailure}, {@link #onDisconnected} or {@link #onNotSent} is the last call.
 */
public interface ResponseListener {

  /**
   * Called with the final response head; interim responses (1xx) are skipped.
   *
   * @param response the response head
   */
  void onHead(HttpResponse response);

  /**
   * Called with a part of the response body.
   *
   * @param part the bytes, valid only during the call unless retained
   */
  void onContent(ByteBuf part);

  /** Called after all parts of the body that a read of the connection contained. */
  default void onReadComplete() {}

  /**
   * Called when the response is complete as far as its framing tells.
   *
   * @param framing how the end of its body was marked
   */
  void onComplete(ResponseFraming framing);

  /**
   * Called when the response is malformed or exceeds a limit.
   *
   * @param detail a description of the failure
   */
  void onFailure(String detail);

  /**
   * Called when the connection broke off before the response was complete.
   *
   * @param detail a description of the failure
   */
  void onDisconnected(String detail);

  /**
   * Called when the connection broke off before the request head was written, so that the target
   * cannot have run the request.
   *
   * @param detail a description of the failure
   */
  void onNotSent(String detail);
}
