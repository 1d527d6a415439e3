package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Splits a stream of bytes into whole events (WHATWG HTML, server-sent events), so that no part of
 * an event is passed on before its end. Not thread-safe.
 */
final class EventSplitter {

  private static final String ID_FIELD = "id:";

  private final ByteBuf rest;
  private final int maxEventBytes;
  private int scanned;

  /**
   * Is one event.
   *
   * @param id its number; empty where it has none
   * @param bytes its bytes with the blank line that ends it; to be released
   */
  record Event(OptionalLong id, ByteBuf bytes) {}

  EventSplitter(ByteBufAllocator allocator, int maxEventBytes) {
    this.rest = Check.notNull(allocator, "allocator").buffer();
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Takes more bytes.
   *
   * @param part the bytes
   * @return the events that end in them
   * @throws IllegalStateException if an event is too long
   */
  List<Event> split(ByteBuf part) {
    rest.writeBytes(part);
    List<Event> events = new ArrayList<>();
    int end = findEnd();
    while (end >= 0) {
      events.add(read(end));
      end = findEnd();
    }
    rest.discardSomeReadBytes();
    if (rest.readableBytes() > maxEventBytes) {
      throw new IllegalStateException("an event is longer than " + maxEventBytes + " bytes");
    }
    return events;
  }

  /** Returns what follows the last whole event; to be released. */
  ByteBuf takeRest() {
    scanned = 0;
    return rest.readBytes(rest.readableBytes());
  }

  void release() {
    rest.release();
  }

  /** Returns the length of the first event with its blank line, or -1. */
  private int findEnd() {
    int start = rest.readerIndex();
    for (int i = Math.max(1, scanned); i < rest.readableBytes(); i++) {
      if (rest.getByte(start + i) != '\n') {
        continue;
      }
      byte before = rest.getByte(start + i - 1);
      boolean crlf = before == '\r' && i >= 3 && rest.getByte(start + i - 2) == '\n';
      if (before == '\n' || crlf) {
        return i + 1;
      }
    }
    scanned = Math.max(0, rest.readableBytes() - 1);
    return -1;
  }

  private Event read(int length) {
    String text = rest.toString(rest.readerIndex(), length, StandardCharsets.UTF_8);
    scanned = 0;
    return new Event(findId(text), rest.readBytes(length));
  }

  private static OptionalLong findId(String text) {
    for (String line : text.split("\n")) {
      if (line.startsWith(ID_FIELD)) {
        return parse(line.substring(ID_FIELD.length()).trim());
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong parse(String value) {
    try {
      return OptionalLong.of(Long.parseLong(value));
    } catch (NumberFormatException e) {
      // An event whose id is no number cannot be numbered; its reader treats it as unnumbered.
      return OptionalLong.empty();
    }
  }
}
