package org.sequoiareach.daemon.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** Removes hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1). */
final class HopByHopHeaders {

  private static final List<String> NAMES =
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

  private HopByHopHeaders() {}

  /** Removes the hop-by-hop headers, including those that the Connection header names. */
  static void removeFrom(HttpHeaders headers) {
    List<String> named = new ArrayList<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        named.add(name.trim());
      }
    }
    named.stream().filter(name -> !name.isEmpty()).forEach(headers::remove);
    NAMES.forEach(headers::remove);
  }
}
