package org.sequoiareach.daemon.sse;

/**
 * Decides what each block of an event stream is, from what the stream's protocol allows.
 * Implementations are immutable and thread-safe.
 */
public interface EventStreamFormat {

  /**
   * Reads a block.
   *
   * @param block the block
   * @param lastEventId the number of the last event that the caller has; 0 if it has none
   * @return what the block is
   */
  BlockReading read(EventBlock block, long lastEventId);

  /**
   * Returns whether events are numbered, so that a stream can be resumed after any of them.
   *
   * @return true if each event has a number
   */
  boolean numbersEvents();
}
