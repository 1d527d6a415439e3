package org.sequoiareach.store.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes into lines of bounded length. Not thread-safe. */
final class LineSplitter {

  private final int maxLineBytes;
  private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

  LineSplitter(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /** Returns the lines completed by these bytes; an incomplete last line is buffered. */
  List<String> split(byte[] bytes) {
    List<String> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        append(bytes, start, i);
        lines.add(partialLine.toString(StandardCharsets.UTF_8));
        partialLine.reset();
        start = i + 1;
      }
    }
    append(bytes, start, bytes.length);
    return lines;
  }

  private void append(byte[] bytes, int start, int end) {
    if (partialLine.size() + (long) (end - start) > maxLineBytes) {
      throw new IllegalStateException("a line is longer than " + maxLineBytes + " bytes");
    }
    partialLine.write(bytes, start, end - start);
  }
}
