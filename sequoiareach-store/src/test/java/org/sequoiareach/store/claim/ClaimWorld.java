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
 * Runs several registries on one faulty key-value service in virtual time, and keeps an oracle that
 * knows only what the registries answered.
 */
final class ClaimWorld {

  /** Names how the key-value service behaves. */
  enum Weather {
    FINE,
    DOWN,
    LOSSY,
    SLOW
  }

  private static final long SETTLE_TIME_MS = 120_000;

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final FakeKeyValueService store =
      new FakeKeyValueService(
          (delayMs, task) -> time.schedule(task, delayMs, TimeUnit.MILLISECONDS), this::nowMs);
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private String violation = "";

  ClaimWorld(int daemonCount) {
    for (int i = 0; i < daemonCount; i++) {
      daemons.add(new Daemon(i));
    }
    setWeather(Weather.FINE, 0);
  }

  private final class Daemon {
    private final GatedKeyValueService gate = new GatedKeyValueService(store);
    private final GroupCommitClaimRegistry registry;

    private Daemon(int seed) {
      registry = new GroupCommitClaimRegistry(gate, time, ClaimWorld.this::nowMs, new Random(seed));
    }
  }

  /** Is one claim as its caller sees it. */
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

  Attempt claim(int daemonIndex, String idempotencyKey, long patienceMs) {
    Daemon daemon = daemons.get(daemonIndex);
    ClaimKey key = new ClaimKey("techos-brno", "dispatch", idempotencyKey);
    Attempt attempt = new Attempt(key, "author-" + attempts.size(), daemon);
    attempts.add(attempt);
    attempt.answer = daemon.registry.claim(key, attempt.author, nowMs() + patienceMs);
    attempt.answer.thenAccept(answer -> check(attempt, answer));
    return attempt;
  }

  void settle(Attempt attempt, Verdict verdict) {
    attempt.verdict = verdict;
    attempt.settled = attempt.daemon.registry.settle(attempt.key, attempt.author, verdict);
  }

  void crash(int daemonIndex) {
    daemons.get(daemonIndex).gate.close();
    daemons.set(daemonIndex, new Daemon(daemonIndex + 100));
  }

  void advance(long ms) {
    time.advanceTimeBy(Duration.ofMillis(ms));
  }

  void setWeather(Weather weather, long seed) {
    Random random = new Random(seed);
    store.setFates(() -> fate(weather, random));
  }

  /** Ends all faults, lets every registry finish, and checks that no key is stuck. */
  void finish() {
    setWeather(Weather.FINE, 1);
    advance(SETTLE_TIME_MS);
    for (Attempt attempt : List.copyOf(attempts)) {
      if (!attempt.daemon.gate.isClosed()) {
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
    if (others.stream().anyMatch(other -> other.daemon.gate.isClosed())) {
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
          violation = attempt.author + " and " + holders.get(0).author + " both hold a key";
        }
      }
      case FINISHED_BY_OTHER -> {
        if (others.stream().noneMatch(other -> other.verdict == Verdict.RAN)) {
          violation = attempt.author + " was told of a finish that never was";
        }
      }
      case HELD_BY_OTHER -> {
        if (others.isEmpty()) {
          violation = attempt.author + " was told of a holder that never was";
        }
      }
      default -> {}
    }
  }

  void assertNoViolation() {
    assertThat(violation).isEmpty();
  }

  private static FakeKeyValueService.Fate fate(Weather weather, Random random) {
    return switch (weather) {
      case FINE -> new FakeKeyValueService.Fate(false, 1, false, 1, false);
      case DOWN -> FakeKeyValueService.Fate.DOWN;
      case LOSSY ->
          new FakeKeyValueService.Fate(
              random.nextInt(8) == 0,
              random.nextInt(50),
              random.nextInt(4) == 0,
              random.nextInt(50),
              random.nextInt(3) == 0);
      case SLOW ->
          new FakeKeyValueService.Fate(
              false, random.nextInt(3_000), false, random.nextInt(1_500), false);
    };
  }
}
