package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Carries the answer to one request. Used on the traffic thread alone; calls after the end of the
 * answer or of the connection do nothing.
 */
public interface CallAnswer {

  /**
   * Tells whether the caller is still there.
   *
   * @return true if it is
   */
  boolean isOpen();

  /**
   * Sends the head.
   *
   * @param status the status
   * @param headers the headers of the message, without those of its framing
   * @param length the length of the body; empty where it is not known yet
   */
  void sendHead(HttpResponseStatus status, HttpHeaders headers, OptionalLong length);

  /**
   * Sends a part of the body.
   *
   * @param part the part, which is released
   */
  void sendPart(ByteBuf part);

  /** Ends a whole answer. */
  void finish();

  /** Breaks the answer off, so that it cannot look whole. */
  void cut();

  /**
   * Sets who is told when the caller reads too slowly, and when it reads on.
   *
   * @param listener takes whether more may be sent
   */
  void onWritable(Consumer<Boolean> listener);
}
