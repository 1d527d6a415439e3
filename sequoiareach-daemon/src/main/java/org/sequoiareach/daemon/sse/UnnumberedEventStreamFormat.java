package org.sequoiareach.daemon.sse;

/**
 * Streams of which nothing but the general form is known, as on routes whose answers are opaque.
 * Their events have no numbers, and fields that a caller does not know mean nothing to it.
 */
public final class UnnumberedEventStreamFormat implements EventStreamFormat {

  @Override
  public boolean numbersEvents() {
    return false;
  }

  @Override
  public BlockReading read(EventBlock block, long lastEventId) {
    return block.has(EventBlock.DATA) ? BlockReading.next(0) : BlockReading.FILLER;
  }
}
