package org.sequoiareach.daemon.sse;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;

/** Recognises responses that are streams of server-sent events. */
public final class EventStreams {

  private static final String MEDIA_TYPE = "text/event-stream";

  private EventStreams() {}

  /**
   * Returns whether the headers of a response announce a stream of events.
   *
   * @param headers the headers
   * @return true if its media type is that of event streams
   */
  public static boolean isAnnouncedBy(HttpHeaders headers) {
    String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
    return type.toLowerCase(Locale.ROOT).startsWith(MEDIA_TYPE);
  }
}
