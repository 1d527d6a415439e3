package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.sequoiareach.decision.follow.FollowSettings;
import org.sequoiareach.decision.follow.ReaderStrategy;
import org.sequoiareach.decision.follow.ReadingRegistry;
import org.sequoiareach.decision.follow.RendezvousReaders;
import org.sequoiareach.decision.follow.StoreAccess;
import org.sequoiareach.decision.follow.StoreFollower;
import org.sequoiareach.decision.follow.TransitTimeEstimator;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.model.route.StoreNews;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.model.route.StoreReading;
import org.sequoiareach.model.route.TargetDelta;
import org.sequoiareach.model.route.TargetUpdate;

/**
 * Follows the store: decides whether this daemon reads it, confirms what the daemon holds by its
 * own readings and those of others, and passes on news. Not thread-safe.
 */
final class StoreFollowHandler {

  /** The daemons that watch the store for a large fleet. */
  private static final int READERS = 3;

  /**
   * The daemons to which each daemon passes on news that it did not know. News that is passed on at
   * random this often reaches all but one daemon in 150; the others ask for what they lack.
   */
  private static final int NEWS_RECIPIENTS = 5;

  /**
   * The daemons to which each daemon passes on a reading without news; who is missed by one reading
   * gets the next before the last one is too old.
   */
  private static final int READING_RECIPIENTS = 4;

  /**
   * How much younger a reading has to be than the last one to be passed on, in milliseconds. Each
   * reading costs a large fleet several messages a daemon; several fit into the age at which a
   * daemon reads for itself.
   */
  private static final long MIN_READING_STEP_MS = 400;

  private final DispatchContext context;
  private final SplittableRandom random;
  private final StoreFollower follower;
  private final ReaderStrategy readers = new RendezvousReaders(READERS);
  private final ReadingRegistry readings = new ReadingRegistry();
  private final TransitTimeEstimator transitTimes = new TransitTimeEstimator();
  private long sheetReadMs = ReadingRegistry.NEVER_MS;
  private long targetsReadMs = ReadingRegistry.NEVER_MS;
  private long toldReadingMs = ReadingRegistry.NEVER_MS;

  StoreFollowHandler(DispatchContext context) {
    this.context = context;
    // Draws of its own, so that recipients and pauses do not change the placing of calls.
    this.random = new SplittableRandom(~context.settings().seed());
    this.follower =
        new StoreFollower(
            new FollowSettings(context.settings().changeBoundMs()),
            maxMs -> random.nextLong(maxMs + 1));
  }

  boolean isWatching() {
    return follower.isWatching();
  }

  boolean reliesOnReaders() {
    return follower.reliesOnReaders();
  }

  /** Returns the time up to which this daemon's holdings are confirmed. */
  long confirmedMs() {
    return readings.confirmedMs();
  }

  void onStoreRead(DispatchEvent.StoreRead event) {
    if (event.sheet()) {
      sheetReadMs = Math.max(sheetReadMs, event.asOfMs());
    } else {
      targetsReadMs = Math.max(targetsReadMs, event.asOfMs());
    }
    long readMs = Math.min(sheetReadMs, targetsReadMs);
    if (readMs > ReadingRegistry.NEVER_MS) {
      readings.record(
          new ReadingRegistry.KnownReading(
              context.membership().selfId(), readMs, context.holdings()),
          context.holdings());
    }
  }

  void onStoreNewsTold(DispatchEvent.StoreNewsTold event) {
    long excessMs = transitTimes.excessMs(event.daemonId(), event.sentMs(), event.nowMs());
    StoreNews news = event.news();
    news.recoveredAgoMs()
        .ifPresent(
            agoMs -> context.targets().recordStoreRecovery(event.nowMs() - agoMs - excessMs));
    news.reading()
        .ifPresent(
            reading ->
                readings.record(
                    new ReadingRegistry.KnownReading(
                        reading.readerId(),
                        event.nowMs() - reading.ageMs() - excessMs,
                        reading.holdings()),
                    context.holdings()));
  }

  void onHoldingsChanged() {
    readings.onHoldingsChanged(context.holdings());
  }

  void onClockSuspended() {
    readings.clear();
    sheetReadMs = ReadingRegistry.NEVER_MS;
    targetsReadMs = ReadingRegistry.NEVER_MS;
    context.logDecision("store-age-unknown", "", "", "", "the VM was suspended");
  }

  /**
   * Returns the part of the updates that this daemon does not know, if what it holds reaches up to
   * them without a gap.
   */
  Optional<TargetDelta> findUnknown(DispatchEvent.TargetsUpdated event) {
    long known = context.targets().revision();
    List<TargetUpdate> unknown =
        event.updates().stream().filter(update -> update.revision() > known).toList();
    if (unknown.isEmpty() || !context.targets().hasList()) {
      return Optional.empty();
    }
    long after = event.afterRevision().orElse(known);
    TargetDelta delta = new TargetDelta(known, unknown);
    boolean sameEra = StorePosition.eraOf(delta.revision()) == StorePosition.eraOf(known);
    // A restored store has lost changes, so what is known beyond its copy must not be kept.
    return after == known || after < known && sameEra ? Optional.of(delta) : Optional.empty();
  }

  void tick(long nowMs) {
    transitTimes.retain(context.membership()::isLivePeer);
    boolean reader = readers.isReader(context.membership().selfId(), context.membership().view());
    // A leaving daemon is not among the owners.
    int fleetSize = Math.max(1, context.membership().view().owners().size());
    follower
        .decide(nowMs, new StoreFollower.Situation(fleetSize, reader, readings.confirmedMs()))
        .ifPresent(access -> changeAccess(nowMs, access, fleetSize));
    if (!follower.isWatching()
        && context.targets().isStoreUnreachable()
        && follower.isConfirmed(nowMs, readings.confirmedMs())) {
      context.targets().updateStoreState(nowMs, true);
    }
    readings
        .youngest()
        .filter(reading -> reading.readMs() >= toldReadingMs + MIN_READING_STEP_MS)
        .ifPresent(reading -> tell(nowMs, Optional.empty()));
  }

  private void changeAccess(long nowMs, StoreAccess access, int fleetSize) {
    String age =
        readings.confirmedMs() == ReadingRegistry.NEVER_MS
            ? "unknown"
            : (nowMs - readings.confirmedMs()) + "ms";
    context.logDecision(
        "store-access", "", "", "", access.mode() + " age=" + age + " daemons=" + fleetSize);
    context.effects().add(new DispatchEffect.AccessStore(access));
  }

  /** Passes on changes of targets that this daemon has applied, and the youngest reading. */
  void tell(long nowMs, Optional<TargetDelta> delta) {
    Optional<StoreReading> reading = readings.youngest().map(known -> known.toReading(nowMs));
    readings.youngest().ifPresent(known -> toldReadingMs = known.readMs());
    StoreNews news =
        new StoreNews(
            context.holdings(),
            reading,
            delta,
            context.targets().recoveredAgoMs(nowMs),
            context.maintenance().known());
    int count = delta.isPresent() ? NEWS_RECIPIENTS : READING_RECIPIENTS;
    for (Member member : drawRecipients(count)) {
      context
          .effects()
          .add(new DispatchEffect.TellStoreNews(member.daemonId(), member.address(), news));
    }
  }

  private List<Member> drawRecipients(int most) {
    List<Member> others = new ArrayList<>(context.membership().livePeers());
    int count = Math.min(most, others.size());
    for (int i = 0; i < count; i++) {
      int drawn = random.nextInt(i, others.size());
      Member member = others.get(drawn);
      others.set(drawn, others.get(i));
      others.set(i, member);
    }
    return others.subList(0, count);
  }
}
