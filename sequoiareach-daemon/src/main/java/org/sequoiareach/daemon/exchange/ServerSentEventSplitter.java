package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.sequoiareach.daemon.sse.EventBoundaryTracker;
import org.sequoiareach.model.Check;

/**
 * Splits a byte stream into complete server-sent events (WHATWG HTML), so that an event is never
 * forwarded in part. Not thread-safe.
 */
final class ServerSentEventSplitter {

  private static final String ID_FIELD = "id:";
  private static final String DATA_FIELD = "data";

  private final ByteBuf buffer;
  private final int maxEventBytes;
  private int scanned;

  /**
   * A complete event.
   *
   * @param id the numeric event id; empty if the event has none
   * @param hasContent whether the event has an id or data, unlike one that consists of comments
   * @param bytes the raw bytes including the terminating blank line; the receiver releases them
   */
  record Event(OptionalLong id, boolean hasContent, ByteBuf bytes) {}

  ServerSentEventSplitter(ByteBufAllocator allocator, int maxEventBytes) {
    this.buffer = Check.notNull(allocator, "allocator").buffer();
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Appends bytes of the stream.
   *
   * @param part the bytes; not released
   * @return the events that these bytes complete
   * @throws IllegalStateException if an incomplete event exceeds the maximum length
   */
  List<Event> split(ByteBuf part) {
    buffer.writeBytes(part);
    List<Event> events = new ArrayList<>();
    int end = findEventEnd();
    while (end >= 0) {
      events.add(readEvent(end));
      end = findEventEnd();
    }
    buffer.discardSomeReadBytes();
    if (buffer.readableBytes() > maxEventBytes) {
      throw new IllegalStateException(
          "a server-sent event is longer than " + maxEventBytes + " bytes");
    }
    return events;
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

  /** Returns the bytes after the last complete event; the caller releases them. */
  ByteBuf takeRemainder() {
    scanned = 0;
    return buffer.readBytes(buffer.readableBytes());
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

  private Event readEvent(int length) {
    String text = buffer.toString(buffer.readerIndex(), length, StandardCharsets.UTF_8);
    scanned = 0;
    OptionalLong id = findId(text);
    boolean hasContent =
        id.isPresent() || text.lines().anyMatch(line -> line.startsWith(DATA_FIELD));
    return new Event(id, hasContent, buffer.readBytes(length));
  }

  private static OptionalLong findId(String text) {
    for (String line : text.split("\n")) {
      if (line.startsWith(ID_FIELD)) {
        return parseId(line.substring(ID_FIELD.length()).trim());
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong parseId(String value) {
    try {
      return OptionalLong.of(Long.parseLong(value));
    } catch (NumberFormatException e) {
      // Event ids need not be numeric; such an event is treated as one without an id.
      return OptionalLong.empty();
    }
  }
}
