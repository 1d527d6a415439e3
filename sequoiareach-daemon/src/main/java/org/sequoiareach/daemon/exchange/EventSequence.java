package org.sequoiareach.daemon.exchange;

/**
 * The events of a stream as its caller receives them, by their ids and across attempts. Not
 * thread-safe.
 */
final class EventSequence {

  /** The bytes of comments and repeated events that a sound stream contains between two events. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 256 << 10;

  private long lastId;
  private long bytesWithoutProgress;
  private boolean allNumbered = true;

  /** Where an event stands relative to those accepted before. */
  enum Position {
    /** It may follow them. */
    NEXT,
    /** It is one of them. */
    REPEATED,
    /** Ids are missing between them and this one. */
    AFTER_GAP
  }

  /** Continues after the event that the caller says was its last; 0 if there is none. */
  void resumeAfter(long id) {
    lastId = id;
  }

  /** Returns the id of the last event that the caller has received; 0 if there is none. */
  long lastId() {
    return lastId;
  }

  /** Returns whether each accepted event with content had an id. */
  boolean allNumbered() {
    return allNumbered;
  }

  /**
   * Counts an event that was received and returns its position.
   *
   * @param continuesRun whether it is part of a continuation, whose first event has the next id
   *     even if the caller has none yet
   */
  Position receive(ServerSentEventSplitter.Event event, boolean continuesRun) {
    bytesWithoutProgress =
        isProgress(event) ? 0 : bytesWithoutProgress + event.bytes().readableBytes();
    if (event.id().isEmpty()) {
      return Position.NEXT;
    }
    long id = event.id().getAsLong();
    if (id <= lastId) {
      return Position.REPEATED;
    }
    return (continuesRun || lastId > 0) && id != lastId + 1 ? Position.AFTER_GAP : Position.NEXT;
  }

  /** Records that the caller is sent an event. */
  void accept(ServerSentEventSplitter.Event event) {
    event.id().ifPresent(number -> lastId = number);
    allNumbered &= event.id().isPresent() || !event.hasContent();
  }

  /** Returns whether more bytes were received without progress than a sound stream contains. */
  boolean isFlooded() {
    return bytesWithoutProgress > MAX_BYTES_WITHOUT_PROGRESS;
  }

  /**
   * Returns whether an event is the next part of the stream. In a stream of numbered events that is
   * one with a new number; in others, one with data.
   */
  private boolean isProgress(ServerSentEventSplitter.Event event) {
    return event.id().isPresent()
        ? event.id().getAsLong() > lastId
        : lastId == 0 && event.hasContent();
  }
}
