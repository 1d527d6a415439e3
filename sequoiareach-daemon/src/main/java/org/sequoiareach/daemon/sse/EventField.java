package org.sequoiareach.daemon.sse;

/**
 * A line of a server-sent event that is no comment.
 *
 * @param name the part before the first colon, or the whole line if it has none
 * @param value the part behind it, without one leading space; one character for each byte
 */
public record EventField(String name, String value) {

  static EventField parse(String line) {
    int colon = line.indexOf(':');
    if (colon < 0) {
      return new EventField(line, "");
    }
    int start = line.startsWith(" ", colon + 1) ? colon + 2 : colon + 1;
    return new EventField(line.substring(0, colon), line.substring(start));
  }
}
