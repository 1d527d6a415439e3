package org.sequoiareach.decision.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.budget.BudgetAccount.ReservationResult;

/** Tests token accounts, the ledger and fair sharing. */
class BudgetAccountTest {

  private static final TokenAmount PLAN = new TokenAmount(10_000, 20_000);
  private static final BudgetSettings SETTINGS = new BudgetSettings(20, 1_000);
  private static final TokenAmount REQUEST = new TokenAmount(100, 400);

  @Test
  void usesTokensOnlyAfterLedgerWasWritten() {
    BudgetAccount account = new BudgetAccount("d1/1", PLAN, SETTINGS);
    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.WAIT);
    LedgerEntry entry = account.nextEntry(0).orElseThrow();
    assertThat(entry.amount()).isEqualTo(new TokenAmount(500, 1_000));
    assertThat(account.nextEntry(0)).as("one pending entry at a time").isEmpty();
    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.WAIT);

    account.recordWritten(entry.amount());

    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.RESERVED);
    account.settle("r1", new TokenAmount(100, 50));
    assertThat(account.spent()).isEqualTo(new TokenAmount(100, 50));
    assertThat(account.free()).isEqualTo(new TokenAmount(400, 950));
  }

  @Test
  void ledgerOutageUsesUpHeldTokensThenWaits() {
    BudgetAccount account = new BudgetAccount("d1/1", PLAN, SETTINGS);
    account.nextEntry(0);
    account.recordWritten(new TokenAmount(500, 1_000));
    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.RESERVED);
    assertThat(account.reserve("r2", REQUEST)).isEqualTo(ReservationResult.RESERVED);
    assertThat(account.reserve("r3", REQUEST)).isEqualTo(ReservationResult.WAIT);
    LedgerEntry lost = account.nextEntry(10).orElseThrow();
    account.recordUnknownOutcome(20);

    assertThat(account.nextEntry(1_019)).isEmpty();
    assertThat(account.nextEntry(1_020)).contains(lost);
  }

  @ParameterizedTest
  @CsvSource({"10001, 1, SPENT", "1, 20001, SPENT", "10000, 20000, WAIT"})
  void refusesRequestLargerThanPlan(long prompt, long completion, ReservationResult expected) {
    BudgetAccount account = new BudgetAccount("d1/1", PLAN, SETTINGS);

    assertThat(account.reserve("r1", new TokenAmount(prompt, completion))).isEqualTo(expected);
  }

  @Test
  void refusesRequestsUntilSheetRaisesExhaustedPlan() {
    BudgetAccount account = new BudgetAccount("d1/1", PLAN, SETTINGS);
    account.reserve("r1", REQUEST);
    account.nextEntry(0);
    account.recordWritten(TokenAmount.NONE);
    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.SPENT);

    account.setPlan(new TokenAmount(20_000, 40_000));

    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.WAIT);
  }

  @Test
  void asksLedgerAgainForTokensGivenBackToExhaustedPlan() {
    BudgetAccount account = new BudgetAccount("d1/1", PLAN, SETTINGS);
    account.reserve("r1", REQUEST);
    account.nextEntry(0);
    account.recordWritten(TokenAmount.NONE);
    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.SPENT);
    assertThat(account.nextEntry(1_000)).isEmpty();
    assertThat(account.nextEntry(30_999)).isEmpty();

    LedgerEntry entry = account.nextEntry(31_000).orElseThrow();
    account.recordWritten(entry.amount());

    assertThat(account.reserve("r1", REQUEST)).isEqualTo(ReservationResult.RESERVED);
  }

  @Test
  void takesUsageBeyondReservationFromLedgerAfterwards() {
    BudgetAccount account = new BudgetAccount("d1/1", PLAN, SETTINGS);
    account.nextEntry(0);
    account.recordWritten(new TokenAmount(500, 1_000));
    account.reserve("r1", new TokenAmount(500, 1_000));
    account.settle("r1", new TokenAmount(700, 1_000));

    LedgerEntry entry = account.nextEntry(0).orElseThrow();
    account.recordWritten(entry.amount());

    assertThat(account.spent()).isEqualTo(new TokenAmount(700, 1_000));
    assertThat(entry.amount()).isEqualTo(new TokenAmount(700, 1_000));
    assertThat(account.free()).isEqualTo(new TokenAmount(500, 1_000));
  }

  @Test
  void givesBackUnusedRestOfLargeReservation() {
    BudgetAccount account = new BudgetAccount("d1/1", PLAN, SETTINGS);
    account.reserve("r1", new TokenAmount(5_000, 10_000));
    account.recordWritten(account.nextEntry(0).orElseThrow().amount());
    account.reserve("r1", new TokenAmount(5_000, 10_000));
    account.settle("r1", TokenAmount.NONE);

    LedgerEntry entry = account.nextEntry(0).orElseThrow();

    assertThat(entry.kind()).isEqualTo(LedgerEntry.Kind.GIVE_BACK);
    assertThat(account.free()).isEqualTo(new TokenAmount(500, 1_000));
  }

  @Test
  void entryAppliedTwiceCountsOnce() {
    LedgerEntry take = new LedgerEntry("d1/1", 1, LedgerEntry.Kind.TAKE, REQUEST);
    BudgetLedger once = BudgetLedger.EMPTY.apply(take, PLAN);

    assertThat(once.apply(take, PLAN)).isSameAs(once);
    assertThat(once.granted(take)).isEqualTo(REQUEST);
    LedgerEntry back = new LedgerEntry("d1/1", 2, LedgerEntry.Kind.GIVE_BACK, REQUEST);
    BudgetLedger returned = once.apply(back, PLAN).apply(back, PLAN).apply(take, PLAN);
    assertThat(returned.taken()).isEqualTo(TokenAmount.NONE);
  }

  /**
   * Usage stays within the plan, and the tokens lost to crashes are bounded, when daemons crash at
   * any point, ledger answers are lost and entries are written twice.
   */
  @Property(tries = 300, seed = "20261203")
  void usageStaysWithinPlanAndCrashesLoseBoundedTokens(@ForAll long seed) {
    Random random = new Random(seed);
    BudgetLedger ledger = BudgetLedger.EMPTY;
    List<Run> runs = new ArrayList<>();
    TokenAmount spentByCrashedRuns = TokenAmount.NONE;
    long maxLost = 0;
    for (int i = 0; i < 3; i++) {
      runs.add(new Run("d" + i + "/0"));
    }
    for (int step = 0; step < 600; step++) {
      int index = random.nextInt(runs.size());
      Run run = runs.get(index);
      run.request(random);
      Optional<LedgerEntry> entry = run.account.nextEntry(step * 100L);
      if (entry.isPresent()) {
        boolean applied = random.nextInt(10) > 0;
        ledger = applied ? ledger.apply(entry.get(), PLAN) : ledger;
        if (applied && random.nextInt(5) > 0) {
          run.account.recordWritten(ledger.granted(entry.get()));
        } else {
          run.account.recordUnknownOutcome(step * 100L);
        }
      }
      if (random.nextInt(60) == 0) {
        // Reservations open at the crash count as used in full.
        spentByCrashedRuns = spentByCrashedRuns.plus(run.account.spent()).plus(run.reserved());
        maxLost += 3 * 1_000;
        runs.set(index, new Run("d" + index + "/" + (step + 1)));
      }
      TokenAmount spent = spentByCrashedRuns;
      for (Run each : runs) {
        spent = spent.plus(each.account.spent()).plus(each.reserved());
      }
      assertThat(ledger.taken().covers(spent)).as("used tokens are in the ledger").isTrue();
      assertThat(PLAN.covers(ledger.taken())).as("leased tokens are within the plan").isTrue();
      assertThat(ledger.taken().completion() - spent.completion())
          .as("unused tokens of crashed and live daemons")
          .isLessThanOrEqualTo(maxLost + 3 * 3 * 1_000);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1000, 1000, 1, 1, 0",
    "4000, 500, 1, 1, 1",
    "4000, 500, 9, 1, 0",
    "1000, 0, 1, 1, 0"
  })
  void organisationBeyondItsShareGetsLowerPriority(
      double own, double other, double weight, double otherWeight, int steps) {
    FairShare shares = new FairShare();
    shares.setWeights(Map.of("own", weight, "other", otherWeight));
    shares.served(0, "own", own);
    if (other > 0) {
      shares.served(0, "other", other);
    }

    assertThat(shares.stepsBehind(0, "own")).isEqualTo(steps);
    assertThat(shares.stepsBehind(0, "new")).isZero();
    assertThat(shares.stepsBehind(3_600_000, "own")).as("after the usage has decayed").isZero();
  }

  /** One run of a daemon with its open reservations. */
  private static final class Run {

    private final BudgetAccount account;
    private final Map<String, TokenAmount> reserved = new HashMap<>();
    private int requests;

    Run(String holder) {
      account = new BudgetAccount(holder, PLAN, SETTINGS);
    }

    void request(Random random) {
      TokenAmount amount = new TokenAmount(1 + random.nextInt(50), 1 + random.nextInt(300));
      String id = "r" + requests++;
      if (account.reserve(id, amount) == ReservationResult.RESERVED) {
        reserved.put(id, amount);
      }
      if (!reserved.isEmpty() && random.nextInt(3) > 0) {
        String ended = reserved.keySet().iterator().next();
        TokenAmount all = reserved.remove(ended);
        long tokens = (long) (random.nextDouble() * (all.completion() + 1));
        account.settle(ended, new TokenAmount(all.prompt(), Math.min(tokens, all.completion())));
      }
      if (random.nextInt(300) == 0) {
        account.close();
      }
    }

    TokenAmount reserved() {
      return reserved.values().stream().reduce(TokenAmount.NONE, TokenAmount::plus);
    }
  }
}
