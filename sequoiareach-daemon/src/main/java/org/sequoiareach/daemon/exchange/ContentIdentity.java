package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Identifies requests that have the same method, path and body. */
final class ContentIdentity {

  private ContentIdentity() {}

  /** Returns a text that is equal for equal requests, and for few others. */
  static String of(HttpRequest request, ByteBuf body) {
    CRC32C checksum = new CRC32C();
    for (ByteBuffer part : body.nioBuffers()) {
      checksum.update(part);
    }
    return request.method()
        + " "
        + request.uri()
        + " "
        + body.readableBytes()
        + " "
        + Long.toHexString(checksum.getValue());
  }
}
