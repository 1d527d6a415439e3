import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {

  private Http() {}

  /** A message head: its first line and its headers by lower-case name. */
  record Head(String firstLine, Map<String, String> headers) {

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
      return firstLine.split(" ")[0];
    }

    String uri() {
      return firstLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }
  }

  /** Reads a head; returns null if the connection was closed before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("the head is incomplete");
      }
      if (line.isEmpty()) {
        return new Head(first, headers);
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
  }

  /** Reads the body that a head announces by its length or in chunks. */
  static byte[] readBody(Head head, InputStream in) throws IOException {
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      byte[] chunk = readChunk(in);
      while (chunk.length > 0) {
        body.writeBytes(chunk);
        chunk = readChunk(in);
      }
      return body.toByteArray();
    }
    String length = head.header("content-length");
    return readExactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
  }

  /** Reads one chunk; an empty one is the last. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("the body ended before its last chunk");
    }
    byte[] chunk = readExactly(in, Integer.parseInt(size.trim(), 16));
    readLine(in);
    return chunk;
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the body ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("a line is incomplete");
      }
      line.write(next);
      next = in.read();
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }
}
