package org.sequoiareach.daemon.sse;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.model.Check;

/**
 * The lines of an event stream up to and including a blank one, or up to the end of the stream.
 *
 * @param fields the lines that are neither blank nor comments
 * @param ambiguousLineEnd whether a carriage return stands elsewhere than before a line feed, so
 *     that not all callers see the same lines
 * @param bytes the raw bytes; the receiver releases them
 */
public record EventBlock(List<EventField> fields, boolean ambiguousLineEnd, ByteBuf bytes) {

  static final String DATA = "data";

  private static final int MAX_DESCRIBED_BYTES = 48;

  /**
   * Parses a block.
   *
   * @param bytes the bytes, which become those of the block
   * @return the block
   */
  public static EventBlock parse(ByteBuf bytes) {
    Check.notNull(bytes, "bytes");
    List<EventField> fields = new ArrayList<>();
    boolean ambiguousLineEnd = false;
    for (String line : bytes.toString(StandardCharsets.ISO_8859_1).split("\n")) {
      String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
      ambiguousLineEnd |= text.indexOf('\r') >= 0;
      if (!text.isEmpty() && text.charAt(0) != ':') {
        fields.add(EventField.parse(text));
      }
    }
    return new EventBlock(List.copyOf(fields), ambiguousLineEnd, bytes);
  }

  /** Returns whether any line is a field with the given name. */
  boolean has(String name) {
    return fields.stream().anyMatch(field -> field.name().equals(name));
  }

  /**
   * Returns the values of all fields with the given name.
   *
   * @param name the name
   * @return the values in the order of the lines, with one character for each byte
   */
  public List<String> valuesOf(String name) {
    return fields.stream()
        .filter(field -> field.name().equals(name))
        .map(EventField::value)
        .toList();
  }

  /**
   * Describes the start of the block for the log.
   *
   * @return printable ASCII; other bytes are escaped as in C
   */
  public String describeStart() {
    StringBuilder text = new StringBuilder();
    int length = Math.min(MAX_DESCRIBED_BYTES, bytes.readableBytes());
    for (int i = 0; i < length; i++) {
      append(text, bytes.getByte(bytes.readerIndex() + i));
    }
    return text.append(length < bytes.readableBytes() ? "…" : "").toString();
  }

  private static void append(StringBuilder text, byte next) {
    switch (next) {
      case '\n' -> text.append("\\n");
      case '\r' -> text.append("\\r");
      case '\\' -> text.append("\\\\");
      default -> {
        boolean printable = next >= ' ' && next < 0x7f;
        text.append(printable ? (char) next : String.format("\\x%02x", next));
      }
    }
  }
}
