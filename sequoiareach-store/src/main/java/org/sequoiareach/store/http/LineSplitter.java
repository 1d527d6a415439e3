package org.sequoiareach.store.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes into lines of bounded length. Not thread-safe. */
final class LineSplitter {

  private final int maxLineBytes;
  private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

  LineSplitter(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /** Returns the lines that end within the bytes; what follows the last one is kept. */
  List<String> split(byte[] bytes) {
    List<String> lines = new ArrayList<>();
    int from = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        keep(bytes, from, i);
        lines.add(rest.toString(StandardCharsets.UTF_8));
        rest.reset();
        from = i + 1;
      }
    }
    keep(bytes, from, bytes.length);
    return lines;
  }

  private void keep(byte[] bytes, int from, int to) {
    if (rest.size() + (long) (to - from) > maxLineBytes) {
      throw new IllegalStateException("a line is longer than " + maxLineBytes + " bytes");
    }
    rest.write(bytes, from, to - from);
  }
}
