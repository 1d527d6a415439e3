package org.sequoiareach.daemon.front;

/** How much of one answer was passed on and written. Confined to the event loop. */
final class AnswerProgress {

  private final String requestId;
  private final boolean requestRead;
  private final long admittedSheet;
  private long bytes;
  private int parts;
  private long writtenBytes;
  private boolean whole;
  private boolean reported;

  AnswerProgress(String requestId, boolean requestRead, long admittedSheet) {
    this.requestId = requestId;
    this.requestRead = requestRead;
    this.admittedSheet = admittedSheet;
  }

  String requestId() {
    return requestId;
  }

  boolean isRequestRead() {
    return requestRead;
  }

  /** Returns the version of the routing sheet when the request was handed over. */
  long admittedSheet() {
    return admittedSheet;
  }

  long bytes() {
    return bytes;
  }

  int parts() {
    return parts;
  }

  /** Returns the bytes of parts that were passed on and not written completely. */
  long unsentBytes() {
    return bytes - writtenBytes;
  }

  /** Returns whether the end of the answer was written. */
  boolean isWhole() {
    return whole;
  }

  void onPart(long length) {
    bytes += length;
    parts++;
  }

  void onWritten(long length) {
    writtenBytes += length;
  }

  void onEndWritten() {
    whole = true;
  }

  /** Returns true for the first invocation only, so that an answer gets at most one line. */
  boolean markReported() {
    boolean first = !reported;
    reported = true;
    return first;
  }
}
