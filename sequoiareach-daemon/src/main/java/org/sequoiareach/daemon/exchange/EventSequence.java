package org.sequoiareach.daemon.exchange;

import org.sequoiareach.daemon.sse.BlockReading;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.EventStreamFormat;

/** The events of a stream as its caller receives them, across attempts. Not thread-safe. */
final class EventSequence {

  /** The bytes of comments and repeated events that a sound stream contains between two events. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 256 << 10;

  /** The comments and blank lines between two events. Each costs the time of an event. */
  private static final int MAX_FILLERS_WITHOUT_PROGRESS = 1_024;

  /** The parts in which a target may send an event; each costs time, however short it is. */
  private static final int MAX_PARTS_WITHOUT_PROGRESS = 16_384;

  private long lastId;
  private boolean hasUnnumberedEvents;
  private long bytesWithoutProgress;
  private int fillersWithoutProgress;
  private int partsWithoutProgress;

  /** Continues after the event that the caller says was its last; 0 if there is none. */
  void resumeAfter(long id) {
    lastId = id;
  }

  /** Returns the id of the last event that the caller has received; 0 if there is none. */
  long lastId() {
    return lastId;
  }

  /** Returns whether another attempt can go on after the last event. */
  boolean isResumable() {
    return !hasUnnumberedEvents;
  }

  /**
   * Reads a block; if it is the next event, the caller is taken to have it from now on.
   *
   * @param format what the stream may contain
   */
  BlockReading receive(EventBlock block, EventStreamFormat format) {
    BlockReading reading = format.read(block, lastId);
    if (reading.kind() != BlockReading.Kind.NEXT) {
      bytesWithoutProgress += block.bytes().readableBytes();
      fillersWithoutProgress += reading.kind() == BlockReading.Kind.FILLER ? 1 : 0;
      return reading;
    }
    bytesWithoutProgress = 0;
    fillersWithoutProgress = 0;
    partsWithoutProgress = 0;
    lastId = reading.eventId();
    hasUnnumberedEvents |= !format.numbersEvents();
    return reading;
  }

  /** Counts a part of the stream, in which a block may end or not. */
  void countPart() {
    partsWithoutProgress++;
  }

  /** Returns whether more was received without progress than a sound stream contains. */
  boolean isFlooded() {
    return bytesWithoutProgress > MAX_BYTES_WITHOUT_PROGRESS
        || fillersWithoutProgress > MAX_FILLERS_WITHOUT_PROGRESS
        || partsWithoutProgress > MAX_PARTS_WITHOUT_PROGRESS;
  }
}
