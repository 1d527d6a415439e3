package org.sequoiareach.daemon.target;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Decodes a byte stream into server-sent events. Used for one response; not thread-safe. */
final class EngineSseDecoder {

  /** The maximum length of a line; a longer line fails the stream. */
  static final int MAX_LINE_BYTES = 1 << 20;

  /** The bytes without a numbered event after which the stream fails. */
  static final int MAX_BYTES_WITHOUT_EVENT = 1 << 20;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private String id = "";
  private long bytesWithoutEvent;

  /** Decodes bytes and returns the events that they complete. */
  List<EngineSseEvent> decode(ByteBuf bytes) {
    List<EngineSseEvent> events = new ArrayList<>();
    bytesWithoutEvent += bytes.readableBytes();
    while (bytes.isReadable()) {
      byte next = bytes.readByte();
      if (next == '\n') {
        endLine(events);
      } else if (next != '\r') {
        append(next);
      }
    }
    if (events.stream().anyMatch(event -> !event.id().isEmpty())) {
      bytesWithoutEvent = 0;
    }
    if (bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
      throw new IllegalStateException(
          "the event stream brings more than "
              + MAX_BYTES_WITHOUT_EVENT
              + " bytes without a numbered event");
    }
    return events;
  }

  private void append(byte next) {
    if (line.size() == MAX_LINE_BYTES) {
      throw new IllegalStateException(
          "a line of the event stream exceeds " + MAX_LINE_BYTES + " bytes");
    }
    line.write(next);
  }

  private void endLine(List<EngineSseEvent> events) {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent(events);
    } else if (text.startsWith("data:")) {
      data.append(data.isEmpty() ? "" : "\n").append(value(text, "data:"));
    } else if (text.startsWith("id:")) {
      id = value(text, "id:");
    }
  }

  private void endEvent(List<EngineSseEvent> events) {
    if (!data.isEmpty()) {
      events.add(new EngineSseEvent(id, data.toString()));
    }
    data.setLength(0);
    id = "";
  }

  private static String value(String text, String field) {
    String value = text.substring(field.length());
    return value.startsWith(" ") ? value.substring(1) : value;
  }
}
