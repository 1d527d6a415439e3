package org.sequoiareach.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request. Called on the traffic thread; the last call ends it. */
public interface AnswerListener {

  /**
   * The head of the answer was read.
   *
   * @param response the head
   */
  void onHead(HttpResponse response);

  /**
   * A part of the body was read.
   *
   * @param part the part, valid during the call
   */
  void onPart(ByteBuf part);

  /** The answer is whole. */
  void onEnd();

  /**
   * The connection was lost, or what came is no answer.
   *
   * @param detail what was seen
   */
  void onFailure(String detail);
}
