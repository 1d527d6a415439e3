package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Optional;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.EventBoundaryTracker;
import org.sequoiareach.model.Check;

/**
 * Splits a byte stream into blocks that end with a blank line, so that a server-sent event (WHATWG
 * HTML) is never forwarded in part. Not thread-safe.
 */
final class ServerSentEventSplitter {

  private final ByteBuf buffer;
  private final int maxEventBytes;
  private int scanned;

  ServerSentEventSplitter(ByteBufAllocator allocator, int maxEventBytes) {
    this.buffer = Check.notNull(allocator, "allocator").buffer();
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Appends bytes of the stream. The blocks that they complete are taken before the next bytes.
   *
   * @param part the bytes; not released
   */
  void append(ByteBuf part) {
    buffer.discardSomeReadBytes();
    buffer.writeBytes(part);
  }

  /**
   * Returns the next complete block. Its receiver may end the stream, so that no work is done for
   * the blocks behind it.
   *
   * @return the block; empty if the rest is incomplete
   * @throws IllegalStateException if an incomplete event exceeds the maximum length
   */
  Optional<EventBlock> next() {
    int end = findEventEnd();
    if (end >= 0) {
      return Optional.of(readBlock(end));
    }
    if (buffer.readableBytes() > maxEventBytes) {
      throw new IllegalStateException(
          "a server-sent event is longer than " + maxEventBytes + " bytes");
    }
    return Optional.empty();
  }

  /** Returns whether the bytes after the last complete event are a part of another one. */
  boolean isInsideEvent() {
    EventBoundaryTracker tracker = new EventBoundaryTracker();
    buffer.forEachByte(
        next -> {
          tracker.read(next);
          return true;
        });
    return tracker.isInsideEvent();
  }

  /** Returns the number of bytes after the last complete event. */
  int remainderBytes() {
    return buffer.readableBytes();
  }

  /** Returns what follows the last complete event; the caller releases it. */
  EventBlock takeRemainder() {
    return readBlock(buffer.readableBytes());
  }

  void release() {
    buffer.release();
  }

  /** Returns the length of the first event with its blank line, or -1 if it is incomplete. */
  private int findEventEnd() {
    int start = buffer.readerIndex();
    for (int i = Math.max(1, scanned); i < buffer.readableBytes(); i++) {
      if (buffer.getByte(start + i) != '\n') {
        continue;
      }
      byte before = buffer.getByte(start + i - 1);
      boolean crlf = before == '\r' && i >= 3 && buffer.getByte(start + i - 2) == '\n';
      if (before == '\n' || crlf) {
        return i + 1;
      }
    }
    scanned = Math.max(0, buffer.readableBytes() - 1);
    return -1;
  }

  private EventBlock readBlock(int length) {
    scanned = 0;
    return EventBlock.parse(buffer.readBytes(length));
  }
}
