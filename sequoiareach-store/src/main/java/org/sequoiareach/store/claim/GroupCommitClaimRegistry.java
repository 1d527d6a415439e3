package org.sequoiareach.store.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.scheduler.Scheduler;

/**
 * Keeps claims as keys of the key-value service and writes many by one transaction. Thread-safe.
 *
 * <p>A claim is a key that is created only if it does not exist. It is kept for at least 24 hours
 * unless it is given back; a caller that repeats an idempotency key later than that is served as a
 * new call.
 *
 * <p>An author claims a key once; as long as its first claim is not settled, a second one is told
 * that the key is held.
 *
 * <p>A claim answered {@link ClaimAnswer#UNAVAILABLE} is resolved in the background. That covers a
 * write that takes effect after a read has found nothing: see {@link ClaimSession}. If the process
 * dies before, the claim stays held until it expires.
 */
public final class GroupCommitClaimRegistry implements ClaimRegistry {

  private static final Logger LOG = LogManager.getLogger(GroupCommitClaimRegistry.class);

  /** Claims that may wait; a further one is answered at once. */
  private static final int MAX_WAITING = 10_000;

  /** Settlements that may wait; beyond it claims stay held until they expire. */
  private static final int MAX_WAITING_SETTLEMENTS = 20_000;

  private final ControlLoop loop;
  private final String registryId = UUID.randomUUID().toString();
  private final ClaimCommitter claims;
  private final SettlementCommitter settlements;
  private final Map<Owner, PendingClaim> pending = new HashMap<>();
  private final Map<Owner, OwnClaim> open = new HashMap<>();
  private long attempts;
  private volatile ClaimStatistics statistics = new ClaimStatistics(0, 0, 0, 0);

  /**
   * Creates a registry on the monotonic clock.
   *
   * @param keyValues the key-value service
   * @param scheduler a scheduler with one thread; futures are completed on it
   */
  public GroupCommitClaimRegistry(KeyValueService keyValues, Scheduler scheduler) {
    this(keyValues, scheduler, MonotonicClock::nowMs, RandomGenerator.getDefault());
  }

  /**
   * Creates a registry.
   *
   * @param keyValues the key-value service
   * @param scheduler a scheduler with one thread; futures are completed on it
   * @param clock the monotonic clock, in milliseconds
   * @param random draws the jitter of backoffs; used on the scheduler's thread only
   */
  public GroupCommitClaimRegistry(
      KeyValueService keyValues, Scheduler scheduler, LongSupplier clock, RandomGenerator random) {
    Check.notNull(keyValues, "keyValues");
    this.loop = new ControlLoop(Check.notNull(scheduler, "scheduler"), clock, random);
    ClaimSession session = new ClaimSession(keyValues, loop, registryId);
    this.claims = new ClaimCommitter(keyValues, loop, session, new Resolution());
    this.settlements = new SettlementCommitter(keyValues, loop, MAX_WAITING_SETTLEMENTS);
  }

  private record Owner(ClaimKey key, String author) {}

  @Override
  public CompletableFuture<ClaimAnswer> claim(ClaimKey key, String author, long deadlineMs) {
    Check.notNull(key, "key");
    Check.hasText(author, "author");
    CompletableFuture<ClaimAnswer> answer = new CompletableFuture<>();
    loop.run(() -> start(key, author, deadlineMs, answer));
    return answer;
  }

  @Override
  public CompletableFuture<Void> settle(ClaimKey key, String author, Verdict verdict) {
    Check.notNull(verdict, "verdict");
    Owner owner = new Owner(Check.notNull(key, "key"), Check.hasText(author, "author"));
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.run(() -> settleOwned(owner, verdict, done));
    return done;
  }

  /**
   * Returns the counts as they were after the latest change.
   *
   * @return the counts
   */
  public ClaimStatistics statistics() {
    return statistics;
  }

  private void start(
      ClaimKey key, String author, long deadlineMs, CompletableFuture<ClaimAnswer> answer) {
    Owner owner = new Owner(key, author);
    boolean known = pending.containsKey(owner) || open.containsKey(owner);
    if (known || loop.nowMs() >= deadlineMs || claims.waiting() >= MAX_WAITING) {
      answer.complete(known ? ClaimAnswer.HELD_BY_OTHER : ClaimAnswer.UNAVAILABLE);
      return;
    }
    attempts++;
    ClaimValue value = new ClaimValue(author, registryId + ":" + attempts, false);
    PendingClaim claim = new PendingClaim(key, value, deadlineMs);
    claim.answer().thenAccept(answer::complete);
    pending.put(owner, claim);
    loop.runAt(deadlineMs, () -> giveUp(claim));
    claims.add(claim);
    count();
  }

  /** Answers a claim that is still undecided; whatever it has written is undone later. */
  private void giveUp(PendingClaim claim) {
    if (claim.isAnswered()) {
      return;
    }
    claim.answer().complete(ClaimAnswer.UNAVAILABLE);
    claims.withdraw(claim);
    count();
  }

  private void settleOwned(Owner owner, Verdict verdict, CompletableFuture<Void> done) {
    PendingClaim undecided = pending.get(owner);
    if (undecided != null) {
      giveUp(undecided);
      undecided.resolved().whenComplete((none, error) -> complete(done, error));
      return;
    }
    OwnClaim own = open.remove(owner);
    if (own == null || verdict == Verdict.MAY_HAVE_RUN) {
      done.complete(null);
    } else if (verdict == Verdict.RAN) {
      settlements.markFinished(own, done);
    } else {
      settlements.giveBack(own, done);
    }
    count();
  }

  private static void complete(CompletableFuture<Void> done, Throwable error) {
    if (error == null) {
      done.complete(null);
      return;
    }
    done.completeExceptionally(error);
  }

  private void count() {
    statistics =
        new ClaimStatistics(
            claims.waiting(), settlements.waiting(), settlements.abandoned(), open.size());
  }

  /** Turns resolved claims into answers, and gives back those that nobody waits for. */
  private final class Resolution implements ClaimCommitter.Listener {

    @Override
    public void won(PendingClaim claim, OwnClaim own) {
      Owner owner = forget(claim);
      boolean late = claim.isAnswered() || loop.nowMs() >= claim.deadlineMs();
      if (late) {
        claim.answer().complete(ClaimAnswer.UNAVAILABLE);
        settlements.giveBack(own, claim.resolved());
      } else {
        open.put(owner, own);
        claim.resolved().complete(null);
        claim.answer().complete(ClaimAnswer.CLAIMED);
      }
      count();
    }

    @Override
    public void lost(PendingClaim claim, KeyValueEntry found) {
      forget(claim);
      boolean finished = ClaimValue.parse(found.value()).map(ClaimValue::finished).orElse(false);
      claim.resolved().complete(null);
      claim.answer().complete(finished ? ClaimAnswer.FINISHED_BY_OTHER : ClaimAnswer.HELD_BY_OTHER);
      LOG.debug("Claim {} of {} is taken.", claim.storeKey(), claim.value().author());
      count();
    }

    @Override
    public void dropped(PendingClaim claim) {
      forget(claim);
      claim.resolved().complete(null);
      count();
    }

    private Owner forget(PendingClaim claim) {
      Owner owner = new Owner(claim.key(), claim.value().author());
      pending.remove(owner);
      return owner;
    }
  }
}
