package org.sequoiareach.store.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Collects the body of a response within its limits. Thread-safe: a timeout may release it. */
final class ResponseBuffer {

  private final int maxBytes;
  private final ResponseMemory memory;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private boolean released;

  ResponseBuffer(int maxBytes, ResponseMemory memory) {
    this.maxBytes = maxBytes;
    this.memory = memory;
  }

  /**
   * Appends a part of the body.
   *
   * @throws ResponseTooLargeException if the body exceeds its limit
   * @throws IllegalStateException if all responses together exceed theirs
   */
  synchronized void append(byte[] part) {
    if (released) {
      return;
    }
    if (bytes.size() + (long) part.length > maxBytes) {
      throw new ResponseTooLargeException(maxBytes);
    }
    if (!memory.tryReserve(bytes.size(), part.length)) {
      throw new IllegalStateException("the memory for responses is in use");
    }
    bytes.writeBytes(part);
  }

  synchronized String text() {
    return bytes.toString(StandardCharsets.UTF_8);
  }

  synchronized void release() {
    if (!released) {
      released = true;
      memory.release(bytes.size());
    }
  }
}
