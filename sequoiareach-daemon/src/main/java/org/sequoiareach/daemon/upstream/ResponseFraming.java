package org.sequoiareach.daemon.upstream;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/** How the end of a response body is marked. */
public enum ResponseFraming {
  /** The body is sent in chunks, of which the last is marked. */
  CHUNKS,
  /** The length of the body is stated, or the response has none by its status or its request. */
  LENGTH,
  /**
   * The body extends to the end of the connection, so an end that came too early looks the same.
   */
  CONNECTION;

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** Returns the framing of the response to a request whose method is not HEAD. */
  static ResponseFraming of(HttpResponse response) {
    if (HttpUtil.isTransferEncodingChunked(response)) {
      return CHUNKS;
    }
    int status = response.status().code();
    boolean lengthKnown =
        HttpUtil.isContentLengthSet(response) || status == NO_CONTENT || status == NOT_MODIFIED;
    return lengthKnown ? LENGTH : CONNECTION;
  }

  /**
   * Returns the name for logs and metrics.
   *
   * @return the name in lower case
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
