package org.sequoiareach.daemon.exchange;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.daemon.sse.BlockReading;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Reads the event stream that answers a request, across attempts, and measures and logs what it
 * contains.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class StreamReader {

  private final ProxyExchangeContext context;
  private final CallProfile profile;
  private final StreamFaultLog faultLog;
  private final EventSequence events = new EventSequence();
  private final Optional<StreamProgressMeter> progress;
  private long lastEventMs;

  StreamReader(ProxyExchangeContext context, String callId, CallProfile profile) {
    this.context = context;
    this.profile = profile;
    this.progress =
        profile.generation().map(run -> new StreamProgressMeter(callId, context.events()));
    this.faultLog = new StreamFaultLog(context.metrics());
  }

  /** Reads a block of an attempt; if it is the next event, the caller is taken to have it. */
  BlockReading read(EventBlock block, AttemptResponseHandler attempt) {
    long lastId = events.lastId();
    EventStreamFormat format = context.dialect().eventStreamFormat(attempt.kind());
    BlockReading reading = events.receive(block, format);
    reading
        .fault()
        .ifPresent(fault -> faultLog.onFault(fault, block, profile.requestId(), attempt, lastId));
    if (reading.kind() == BlockReading.Kind.NEXT) {
      recordEventLatency();
      progress.ifPresent(meter -> meter.onEvent(lastEventMs, attempt.number()));
    }
    return reading;
  }

  /** Reports the events that were received since the last report. */
  void reportProgress() {
    progress.ifPresent(StreamProgressMeter::report);
  }

  /** Continues after the event that the caller says was its last; 0 if there is none. */
  void resumeAfter(long eventId) {
    events.resumeAfter(eventId);
  }

  /** Returns the number of the last event that the caller has; 0 if it has none. */
  long lastEventId() {
    return events.lastId();
  }

  /** Returns whether another attempt can go on after the last event. */
  boolean isResumable() {
    return events.isResumable();
  }

  /** Counts a part of the stream, in which a block may end or not. */
  void countPart() {
    events.countPart();
  }

  /** Returns whether more was received without progress than a sound stream contains. */
  boolean isFlooded() {
    return events.isFlooded();
  }

  private void recordEventLatency() {
    long nowMs = MonotonicClock.nowMs();
    String timer = lastEventMs > 0 ? "stream.gap" : "stream.first";
    long sinceMs = lastEventMs > 0 ? lastEventMs : profile.arrivedMs();
    context.metrics().timer(timer).update(nowMs - sinceMs, TimeUnit.MILLISECONDS);
    lastEventMs = nowMs;
  }
}
