package org.sequoiareach.daemon.sse;

/**
 * Tracks whether the bytes of a stream of server-sent events read so far end inside an event.
 *
 * <p>Lines end with LF or CRLF. Comments and blank lines are no part of an event, but an incomplete
 * line of any kind is. Not thread-safe.
 */
public final class EventBoundaryTracker {

  private boolean fieldSeen;
  private boolean lineStarted;
  private boolean comment;
  private boolean blank = true;

  /**
   * Reads the next byte.
   *
   * @param next the byte
   */
  public void read(byte next) {
    if (next == '\n') {
      endLine();
      return;
    }
    comment = lineStarted ? comment : next == ':';
    blank &= next == '\r';
    lineStarted = true;
  }

  /**
   * Reads the next bytes.
   *
   * @param bytes the bytes
   */
  public void read(byte[] bytes) {
    for (byte next : bytes) {
      read(next);
    }
  }

  /**
   * Returns whether the stream would be cut inside an event if it ended here.
   *
   * @return true if a line is incomplete, or a field was not followed by a blank line
   */
  public boolean isInsideEvent() {
    return fieldSeen || lineStarted;
  }

  private void endLine() {
    fieldSeen = !blank && (fieldSeen || !comment);
    lineStarted = false;
    comment = false;
    blank = true;
  }
}
