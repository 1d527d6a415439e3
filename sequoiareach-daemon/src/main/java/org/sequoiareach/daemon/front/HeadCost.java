package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Computes what the lines of a request head cost once they are decoded.
 *
 * @param lines the number of complete lines
 * @param bytes their bytes
 * @param started whether a line with content was read, so that the next empty line ends the head
 */
record HeadCost(int lines, int bytes, boolean started) {

  /**
   * The objects of one header line, on the heap: 40 bytes for the entry, 48 each for name and
   * value, and 40 for the entry of the copy that is sent to a target.
   */
  private static final int LINE_OBJECT_BYTES = 176;

  /**
   * Reads the complete lines at the start of a buffer, up to the empty line that ends a head.
   *
   * @param input the undecoded bytes, which are not consumed
   * @param continued whether a line with content of the same head was read before
   */
  static HeadCost of(ByteBuf input, boolean continued) {
    boolean started = continued;
    boolean ended = false;
    int lineStart = input.readerIndex();
    int lines = 0;
    while (!ended) {
      int end =
          input.forEachByte(lineStart, input.writerIndex() - lineStart, ByteProcessor.FIND_LF);
      if (end < 0) {
        break;
      }
      boolean empty = isEmpty(input, lineStart, end);
      ended = started && empty;
      started |= !empty;
      lines++;
      lineStart = end + 1;
    }
    return new HeadCost(lines, lineStart - input.readerIndex(), started);
  }

  private static boolean isEmpty(ByteBuf input, int start, int end) {
    return end == start || end == start + 1 && input.getByte(start) == '\r';
  }

  long heapBytes() {
    return (long) lines * LINE_OBJECT_BYTES + bytes;
  }
}
