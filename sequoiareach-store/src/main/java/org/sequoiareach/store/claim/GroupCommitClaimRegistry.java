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
 * {@link ClaimRegistry} that stores each claim as a key in the key-value service and commits many
 * claims in one transaction. Thread-safe.
 *
 * <p>A claim is a key that is created only if it does not exist. It is kept for at least 24 hours
 * unless it is released. A call that reuses an idempotency key after the claim has expired is
 * treated as a new call.
 *
 * <p>An author can claim a key only once: until its first claim is settled, a second one is
 * answered {@link ClaimAnswer#HELD_BY_OTHER}.
 *
 * <p>A claim answered {@link ClaimAnswer#UNAVAILABLE} is resolved in the background. This includes
 * a write that takes effect after a read has found no entry: see {@link ClaimSession}. If the
 * process terminates before the claim is resolved, the claim stays held until it expires.
 */
public final class GroupCommitClaimRegistry implements ClaimRegistry {

  private static final Logger LOG = LogManager.getLogger(GroupCommitClaimRegistry.class);

  /** Capacity of the claim queue; further claims are answered {@code UNAVAILABLE} at once. */
  private static final int MAX_WAITING_CLAIMS = 10_000;

  /** Capacity of the settlement queue; claims beyond it stay held until they expire. */
  private static final int MAX_WAITING_SETTLEMENTS = 20_000;

  private final ClaimEventLoop loop;
  private final String registryId = UUID.randomUUID().toString();
  private final ClaimCommitter claims;
  private final SettlementCommitter settlements;
  private final Map<Owner, PendingClaim> pendingClaims = new HashMap<>();
  private final Map<Owner, HeldClaim> heldClaims = new HashMap<>();
  private long attemptCount;
  private volatile ClaimStatistics statistics = new ClaimStatistics(0, 0, 0, 0);

  /**
   * Creates a registry that uses the monotonic clock of the JVM.
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
   * @param random the source of backoff jitter; used on the scheduler's thread only
   */
  public GroupCommitClaimRegistry(
      KeyValueService keyValues, Scheduler scheduler, LongSupplier clock, RandomGenerator random) {
    Check.notNull(keyValues, "keyValues");
    this.loop = new ClaimEventLoop(Check.notNull(scheduler, "scheduler"), clock, random);
    ClaimSession session = new ClaimSession(keyValues, loop, registryId);
    this.claims = new ClaimCommitter(keyValues, loop, session, new ResolutionListener());
    this.settlements = new SettlementCommitter(keyValues, loop, MAX_WAITING_SETTLEMENTS);
  }

  /** Identifies a claim by its key and its author. */
  private record Owner(ClaimKey key, String author) {}

  @Override
  public CompletableFuture<ClaimAnswer> claim(ClaimKey key, String author, long deadlineMs) {
    Check.notNull(key, "key");
    Check.hasText(author, "author");
    CompletableFuture<ClaimAnswer> answer = new CompletableFuture<>();
    loop.execute(() -> doClaim(key, author, deadlineMs, answer));
    return answer;
  }

  @Override
  public CompletableFuture<Void> settle(ClaimKey key, String author, Verdict verdict) {
    Check.notNull(verdict, "verdict");
    Owner owner = new Owner(Check.notNull(key, "key"), Check.hasText(author, "author"));
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(() -> doSettle(owner, verdict, done));
    return done;
  }

  /**
   * Returns the statistics as of the latest state change.
   *
   * @return the statistics
   */
  public ClaimStatistics statistics() {
    return statistics;
  }

  private void doClaim(
      ClaimKey key, String author, long deadlineMs, CompletableFuture<ClaimAnswer> answer) {
    Owner owner = new Owner(key, author);
    boolean known = pendingClaims.containsKey(owner) || heldClaims.containsKey(owner);
    if (known || loop.nowMs() >= deadlineMs || claims.waiting() >= MAX_WAITING_CLAIMS) {
      answer.complete(known ? ClaimAnswer.HELD_BY_OTHER : ClaimAnswer.UNAVAILABLE);
      return;
    }
    attemptCount++;
    ClaimValue value = new ClaimValue(author, registryId + ":" + attemptCount, false);
    PendingClaim claim = new PendingClaim(key, value, deadlineMs);
    claim.answer().thenAccept(answer::complete);
    pendingClaims.put(owner, claim);
    loop.runAt(deadlineMs, () -> answerUnavailable(claim));
    claims.add(claim);
    updateStatistics();
  }

  /** Answers an unresolved claim; if its write still takes effect, the claim is released. */
  private void answerUnavailable(PendingClaim claim) {
    if (claim.isAnswered()) {
      return;
    }
    claim.answer().complete(ClaimAnswer.UNAVAILABLE);
    claims.withdraw(claim);
    updateStatistics();
  }

  private void doSettle(Owner owner, Verdict verdict, CompletableFuture<Void> done) {
    PendingClaim unresolved = pendingClaims.get(owner);
    if (unresolved != null) {
      answerUnavailable(unresolved);
      unresolved.resolved().whenComplete((none, error) -> complete(done, error));
      return;
    }
    HeldClaim held = heldClaims.remove(owner);
    if (held == null || verdict == Verdict.MAY_HAVE_RUN) {
      done.complete(null);
    } else if (verdict == Verdict.RAN) {
      settlements.markFinished(held, done);
    } else {
      settlements.release(held, done);
    }
    updateStatistics();
  }

  private static void complete(CompletableFuture<Void> done, Throwable error) {
    if (error == null) {
      done.complete(null);
      return;
    }
    done.completeExceptionally(error);
  }

  private void updateStatistics() {
    statistics =
        new ClaimStatistics(
            claims.waiting(), settlements.waiting(), settlements.abandoned(), heldClaims.size());
  }

  /** Answers resolved claims, and releases those that were claimed too late. */
  private final class ResolutionListener implements ClaimCommitter.Listener {

    @Override
    public void onClaimed(PendingClaim claim, HeldClaim held) {
      Owner owner = forget(claim);
      boolean late = claim.isAnswered() || loop.nowMs() >= claim.deadlineMs();
      if (late) {
        claim.answer().complete(ClaimAnswer.UNAVAILABLE);
        settlements.release(held, claim.resolved());
      } else {
        heldClaims.put(owner, held);
        claim.resolved().complete(null);
        claim.answer().complete(ClaimAnswer.CLAIMED);
      }
      updateStatistics();
    }

    @Override
    public void onConflict(PendingClaim claim, KeyValueEntry found) {
      forget(claim);
      boolean finished = ClaimValue.parse(found.value()).map(ClaimValue::finished).orElse(false);
      claim.resolved().complete(null);
      claim.answer().complete(finished ? ClaimAnswer.FINISHED_BY_OTHER : ClaimAnswer.HELD_BY_OTHER);
      LOG.debug(
          "Claim {} by author {} conflicts with an existing claim",
          claim.storeKey(),
          claim.value().author());
      updateStatistics();
    }

    @Override
    public void onWithdrawn(PendingClaim claim) {
      forget(claim);
      claim.resolved().complete(null);
      updateStatistics();
    }

    private Owner forget(PendingClaim claim) {
      Owner owner = new Owner(claim.key(), claim.value().author());
      pendingClaims.remove(owner);
      return owner;
    }
  }
}
