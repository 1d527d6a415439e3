package org.sequoiareach.store.http;

import io.netty.buffer.ByteBuf;
import java.util.Locale;

/**
 * Validates the received bytes of HTTP/1.x responses against the grammar of RFC 9112, before a
 * decoder repairs or skips what the grammar forbids. Not thread-safe.
 */
final class ResponseSyntaxValidator {

  /** The part of a response that the next byte belongs to. */
  private enum Part {
    STATUS_LINE,
    /** Also the empty line that ends a section of fields. */
    FIELD_NAME,
    FIELD_VALUE,
    CHUNK_SIZE,
    /** The blanks that may separate the size of a chunk from its extensions. */
    CHUNK_SIZE_END,
    CHUNK_EXTENSIONS,
    CHUNK_DATA,
    CHUNK_DATA_END,
    UNCHECKED
  }

  /** A status line up to its reason: v, c and d are a minor version, a class and a digit. */
  private static final String STATUS_LINE = "HTTP/1.v cdd ";

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private static final int MIN_STATUS_LINE_BYTES = STATUS_LINE.length() - 1;

  private static final int HEX_RADIX = 16;
  private static final int HEX_DIGIT_BITS = 4;

  /** Keeps a size within the range of a long. */
  private static final int MAX_CHUNK_SIZE_DIGITS = 15;

  private Part part = Part.STATUS_LINE;
  private int linePosition;

  /** The size of a chunk as far as it has been read, then the number of its bytes left. */
  private long chunkSize;

  private boolean carriageReturn;

  /** Expects the head of a response. */
  void startHead() {
    startLine(Part.STATUS_LINE);
  }

  /** Expects a body that is sent in chunks, whose data are not validated. */
  void startChunks() {
    startLine(Part.CHUNK_SIZE);
  }

  /**
   * Validates bytes up to the end of the part that is validated.
   *
   * @param bytes the received bytes
   * @param start the index of the first byte that has not been validated
   * @return the number of bytes that have been validated
   * @throws MalformedResponseException if a byte is invalid; the message names the byte
   */
  int validate(ByteBuf bytes, int start) {
    int index = start;
    while (index < bytes.writerIndex() && part != Part.UNCHECKED) {
      if (part == Part.CHUNK_DATA) {
        index += skipChunkData(bytes.writerIndex() - index);
      } else {
        accept(bytes.getUnsignedByte(index));
        index++;
      }
    }
    return index - start;
  }

  private int skipChunkData(int available) {
    int skipped = (int) Math.min(available, chunkSize);
    chunkSize -= skipped;
    if (chunkSize == 0) {
      startLine(Part.CHUNK_DATA_END);
    }
    return skipped;
  }

  private void accept(int octet) {
    if (carriageReturn) {
      require(octet == '\n', octet);
      startLine(partAfterLine());
      return;
    }
    carriageReturn = octet == '\r' && mayLineEnd();
    require(carriageReturn || isAllowed(octet), octet);
    if (!carriageReturn) {
      advance(octet);
    }
    linePosition++;
  }

  /** Changes the part if a byte ends it inside its line. */
  private void advance(int octet) {
    switch (part) {
      case FIELD_NAME -> part = octet == ':' ? Part.FIELD_VALUE : part;
      case CHUNK_SIZE, CHUNK_SIZE_END -> advanceInChunkSize(octet);
      default -> {}
    }
  }

  private void advanceInChunkSize(int octet) {
    if (octet == ';') {
      part = Part.CHUNK_EXTENSIONS;
    } else if (isBlank(octet)) {
      part = Part.CHUNK_SIZE_END;
    } else {
      chunkSize = (chunkSize << HEX_DIGIT_BITS) + Character.digit(octet, HEX_RADIX);
    }
  }

  private Part partAfterLine() {
    return switch (part) {
      case STATUS_LINE, FIELD_VALUE -> Part.FIELD_NAME;
      case CHUNK_SIZE, CHUNK_EXTENSIONS -> chunkSize > 0 ? Part.CHUNK_DATA : Part.FIELD_NAME;
      case CHUNK_DATA_END -> Part.CHUNK_SIZE;
      default -> Part.UNCHECKED;
    };
  }

  private boolean mayLineEnd() {
    return switch (part) {
      case STATUS_LINE -> linePosition >= MIN_STATUS_LINE_BYTES;
      case FIELD_NAME -> linePosition == 0;
      case CHUNK_SIZE -> linePosition > 0;
      case CHUNK_SIZE_END -> false;
      default -> true;
    };
  }

  private boolean isAllowed(int octet) {
    return switch (part) {
      case STATUS_LINE -> isAllowedInStatusLine(octet);
      case FIELD_NAME -> isTokenCharacter(octet) || octet == ':' && linePosition > 0;
      case CHUNK_SIZE ->
          Character.digit(octet, HEX_RADIX) >= 0 && linePosition < MAX_CHUNK_SIZE_DIGITS
              || linePosition > 0 && (octet == ';' || isBlank(octet));
      case CHUNK_SIZE_END -> octet == ';' || isBlank(octet);
      case CHUNK_DATA_END -> false;
      default -> isText(octet);
    };
  }

  private boolean isAllowedInStatusLine(int octet) {
    if (linePosition >= STATUS_LINE.length()) {
      return isText(octet);
    }
    char expected = STATUS_LINE.charAt(linePosition);
    return switch (expected) {
      case 'v' -> octet == '0' || octet == '1';
      case 'c' -> octet >= '1' && octet <= '5';
      case 'd' -> octet >= '0' && octet <= '9';
      default -> octet == expected;
    };
  }

  private void startLine(Part next) {
    part = next;
    linePosition = 0;
    carriageReturn = false;
  }

  private void require(boolean valid, int octet) {
    if (!valid) {
      throw new MalformedResponseException(
          String.format(
              Locale.ROOT,
              "byte 0x%02x at offset %d of the %s is invalid",
              octet,
              linePosition,
              part.name().toLowerCase(Locale.ROOT).replace('_', ' ')));
    }
  }

  private static boolean isTokenCharacter(int octet) {
    return octet >= '0' && octet <= '9'
        || octet >= 'A' && octet <= 'Z'
        || octet >= 'a' && octet <= 'z'
        || TOKEN_SYMBOLS.indexOf(octet) >= 0;
  }

  private static boolean isBlank(int octet) {
    return octet == ' ' || octet == '\t';
  }

  /** Returns whether a byte is a tab, a blank or a visible character, which includes obs-text. */
  private static boolean isText(int octet) {
    return octet == '\t' || octet >= ' ' && octet != 0x7f;
  }
}
