package org.sequoiareach.daemon.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** Tells headers of a message from those of one connection (RFC 9110, section 7.6.1). */
final class MessageHeaders {

  private static final List<String> OF_CONNECTION =
      List.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private MessageHeaders() {}

  /** Removes the headers that concern one connection only, those that it names included. */
  static void removeConnectionHeaders(HttpHeaders headers) {
    List<String> named = new ArrayList<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        named.add(name.trim());
      }
    }
    named.stream().filter(name -> !name.isEmpty()).forEach(headers::remove);
    OF_CONNECTION.forEach(headers::remove);
  }
}
