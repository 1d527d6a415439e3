package org.sequoiareach.store.http;

import io.netty.handler.codec.CorruptedFrameException;

/** Thrown if a response is not valid by the grammar of RFC 9112. */
public final class MalformedResponseException extends CorruptedFrameException {

  private static final long serialVersionUID = 1;

  MalformedResponseException(String message) {
    super(message);
  }
}
