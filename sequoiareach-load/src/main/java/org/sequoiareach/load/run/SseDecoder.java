package org.sequoiareach.load.run;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes a byte stream into server-sent events. A line that is none of theirs becomes an event
 * whose data can't be parsed. Not thread-safe.
 */
final class SseDecoder {

  private static final Pattern IGNORED_LINE = Pattern.compile(":.*|(event|retry):.*");

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();

  private String id = "";
  private boolean hasData;

  /**
   * Processes the next bytes of the stream.
   *
   * @param bytes the next bytes, cut at any position
   * @return the events completed by these bytes
   */
  List<SseEvent> feed(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    for (byte next : bytes) {
      if (next == '\n') {
        onLine(line.toString(StandardCharsets.UTF_8), events);
        line.reset();
      } else if (next != '\r') {
        line.write(next);
      }
    }
    return events;
  }

  private void onLine(String text, List<SseEvent> events) {
    if (text.isEmpty()) {
      dispatch(events);
    } else if (text.startsWith("data:")) {
      data.append(hasData ? "\n" : "").append(valueOf(text, "data:"));
      hasData = true;
    } else if (text.startsWith("id:")) {
      id = valueOf(text, "id:");
    } else if (!IGNORED_LINE.matcher(text).matches()) {
      events.add(new SseEvent("", "unknown line: " + text));
    }
  }

  private void dispatch(List<SseEvent> events) {
    if (hasData) {
      events.add(new SseEvent(id, data.toString()));
    }
    data.setLength(0);
    hasData = false;
    id = "";
  }

  private static String valueOf(String text, String field) {
    String value = text.substring(field.length());
    return value.startsWith(" ") ? value.substring(1) : value;
  }
}
