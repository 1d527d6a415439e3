package org.sequoiareach.daemon.caller;

import java.io.ByteArrayOutputStream;
import org.sequoiareach.model.request.Reason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies up to a maximum size. Thread-safe. */
final class BodyReader {

  private final int maxBytes;

  BodyReader(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Reads a body.
   *
   * @return the body; fails with {@link Reason#TOO_LARGE} as soon as it exceeds the maximum size
   */
  Mono<byte[]> read(HttpServerRequest request) {
    return request
        .receive()
        .asByteArray()
        .collect(ByteArrayOutputStream::new, this::append)
        .map(ByteArrayOutputStream::toByteArray);
  }

  private void append(ByteArrayOutputStream body, byte[] bytes) {
    if (body.size() + bytes.length > maxBytes) {
      throw Refusals.of(Reason.TOO_LARGE, "the request body exceeds " + maxBytes + " bytes");
    }
    body.writeBytes(bytes);
  }
}
