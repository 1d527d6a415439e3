package org.sequoiareach.daemon.caller;

import java.io.ByteArrayOutputStream;
import org.sequoiareach.model.request.Reason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies up to a limit. */
final class BodyReader {

  private final int maxBytes;

  BodyReader(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reads a body; fails as soon as it exceeds the limit. */
  Mono<byte[]> read(HttpServerRequest request) {
    return request
        .receive()
        .asByteArray()
        .collect(ByteArrayOutputStream::new, this::append)
        .map(ByteArrayOutputStream::toByteArray);
  }

  private void append(ByteArrayOutputStream body, byte[] bytes) {
    if (body.size() + bytes.length > maxBytes) {
      throw Refusals.of(Reason.TOO_LARGE, "the body exceeds " + maxBytes + " bytes");
    }
    body.writeBytes(bytes);
  }
}
