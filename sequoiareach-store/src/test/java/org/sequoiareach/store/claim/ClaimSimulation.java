package org.sequoiareach.store.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.kv.FakeKeyValueService;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulates several daemons whose registries share one faulty key-value service, in virtual time.
 * An oracle checks their answers against each other without looking at the stored state.
 */
final class ClaimSimulation {

  /** The condition of the key-value service. */
  enum ServiceCondition {
    HEALTHY,
    DOWN,
    LOSSY,
    SLOW
  }

  private static final long RECOVERY_TIME_MS = 120_000;

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final FakeKeyValueService store =
      new FakeKeyValueService(
          (delayMs, task) -> time.schedule(task, delayMs, TimeUnit.MILLISECONDS), this::nowMs);
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private String violation = "";

  ClaimSimulation(int daemonCount) {
    for (int i = 0; i < daemonCount; i++) {
      daemons.add(new Daemon(i));
    }
    setServiceCondition(ServiceCondition.HEALTHY, 0);
  }

  private final class Daemon {
    private final DisconnectableKeyValueService connection =
        new DisconnectableKeyValueService(store);
    private final GroupCommitClaimRegistry registry;

    private Daemon(int seed) {
      registry =
          new GroupCommitClaimRegistry(
              connection, time, ClaimSimulation.this::nowMs, new Random(seed));
    }
  }

  /** One claim as seen by its caller. */
  static final class Attempt {
    final ClaimKey key;
    final String author;
    final Daemon daemon;
    CompletableFuture<ClaimAnswer> answer;
    CompletableFuture<Void> settled;
    Verdict verdict;

    private Attempt(ClaimKey key, String author, Daemon daemon) {
      this.key = key;
      this.author = author;
      this.daemon = daemon;
    }

    boolean isAnswered(ClaimAnswer wanted) {
      return answer.isDone() && answer.join() == wanted;
    }

    boolean isHeld() {
      return isAnswered(ClaimAnswer.CLAIMED) && verdict != Verdict.NOT_RUN;
    }
  }

  long nowMs() {
    return time.now(TimeUnit.MILLISECONDS);
  }

  FakeKeyValueService store() {
    return store;
  }

  List<Attempt> attempts() {
    return attempts;
  }

  GroupCommitClaimRegistry registry(int daemon) {
    return daemons.get(daemon).registry;
  }

  Attempt claim(int daemonIndex, String idempotencyKey, long timeoutMs) {
    Daemon daemon = daemons.get(daemonIndex);
    ClaimKey key = new ClaimKey("techos-brno", "dispatch", idempotencyKey);
    Attempt attempt = new Attempt(key, "author-" + attempts.size(), daemon);
    attempts.add(attempt);
    attempt.answer = daemon.registry.claim(key, attempt.author, nowMs() + timeoutMs);
    attempt.answer.thenAccept(answer -> check(attempt, answer));
    return attempt;
  }

  void settle(Attempt attempt, Verdict verdict) {
    attempt.verdict = verdict;
    attempt.settled = attempt.daemon.registry.settle(attempt.key, attempt.author, verdict);
  }

  void crash(int daemonIndex) {
    daemons.get(daemonIndex).connection.disconnect();
    daemons.set(daemonIndex, new Daemon(daemonIndex + 100));
  }

  void advance(long ms) {
    time.advanceTimeBy(Duration.ofMillis(ms));
  }

  void setServiceCondition(ServiceCondition condition, long seed) {
    Random random = new Random(seed);
    store.setOutcomes(() -> outcome(condition, random));
  }

  /** Ends all faults, lets every registry recover, and checks that no key is stuck. */
  void recoverAndCheckKeys() {
    setServiceCondition(ServiceCondition.HEALTHY, 1);
    advance(RECOVERY_TIME_MS);
    for (Attempt attempt : List.copyOf(attempts)) {
      if (!attempt.daemon.connection.isDisconnected()) {
        assertThat(attempt.answer).isDone();
        assertThat(attempt.settled == null || attempt.settled.isDone()).isTrue();
      }
    }
    List<ClaimKey> keys = attempts.stream().map(attempt -> attempt.key).distinct().toList();
    for (ClaimKey key : keys) {
      Attempt last = claim(0, key.idempotencyKey(), 5_000);
      advance(10_000);
      assertThat(last.answer.join()).as("last claim of %s", key).isIn(expected(key, last));
    }
  }

  private List<ClaimAnswer> expected(ClaimKey key, Attempt last) {
    List<Attempt> others =
        attempts.stream().filter(other -> other != last && other.key.equals(key)).toList();
    if (others.stream().anyMatch(other -> other.daemon.connection.isDisconnected())) {
      return List.of(ClaimAnswer.values());
    }
    if (others.stream().anyMatch(other -> other.isHeld() && other.verdict == Verdict.RAN)) {
      return List.of(ClaimAnswer.FINISHED_BY_OTHER);
    }
    boolean held = others.stream().anyMatch(Attempt::isHeld);
    return List.of(held ? ClaimAnswer.HELD_BY_OTHER : ClaimAnswer.CLAIMED);
  }

  private void check(Attempt attempt, ClaimAnswer answer) {
    List<Attempt> others =
        attempts.stream()
            .filter(other -> other != attempt && other.key.equals(attempt.key))
            .toList();
    switch (answer) {
      case CLAIMED -> {
        List<Attempt> holders = others.stream().filter(Attempt::isHeld).toList();
        if (!holders.isEmpty()) {
          violation =
              attempt.author + " and " + holders.get(0).author + " both hold key " + attempt.key;
        }
      }
      case FINISHED_BY_OTHER -> {
        if (others.stream().noneMatch(other -> other.verdict == Verdict.RAN)) {
          violation = attempt.author + " was answered FINISHED_BY_OTHER but no other call finished";
        }
      }
      case HELD_BY_OTHER -> {
        if (others.isEmpty()) {
          violation = attempt.author + " was answered HELD_BY_OTHER but no other claim exists";
        }
      }
      default -> {}
    }
  }

  void assertNoViolation() {
    assertThat(violation).isEmpty();
  }

  private static FakeKeyValueService.CallOutcome outcome(
      ServiceCondition condition, Random random) {
    return switch (condition) {
      case HEALTHY -> new FakeKeyValueService.CallOutcome(false, 1, false, 1, false);
      case DOWN -> FakeKeyValueService.CallOutcome.DOWN;
      case LOSSY ->
          new FakeKeyValueService.CallOutcome(
              random.nextInt(8) == 0,
              random.nextInt(50),
              random.nextInt(4) == 0,
              random.nextInt(50),
              random.nextInt(3) == 0);
      case SLOW ->
          new FakeKeyValueService.CallOutcome(
              false, random.nextInt(3_000), false, random.nextInt(1_500), false);
    };
  }
}
