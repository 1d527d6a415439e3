package org.sequoiareach.store.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiareach.store.kv.FakeKeyValueService;
import reactor.test.scheduler.VirtualTimeScheduler;

class SettlementCommitterTest {

  private static final int MAX_WAITING = 10;

  @Test
  void settlementsBeyondQueueLimitFailAndAreCounted() {
    FakeKeyValueService store = FakeKeyValueService.immediate();
    store.setOutcomes(() -> FakeKeyValueService.CallOutcome.DOWN);
    VirtualTimeScheduler time = VirtualTimeScheduler.create();
    ClaimEventLoop loop =
        new ClaimEventLoop(time, () -> time.now(TimeUnit.MILLISECONDS), new Random(1));
    SettlementCommitter settlements = new SettlementCommitter(store, loop, MAX_WAITING);
    List<CompletableFuture<Void>> done =
        IntStream.range(0, MAX_WAITING + 5).mapToObj(i -> release(settlements, i)).toList();
    assertThat(done.stream().filter(CompletableFuture::isCompletedExceptionally).count())
        .isEqualTo(settlements.abandoned())
        .isPositive();
    assertThat(settlements.waiting()).isLessThanOrEqualTo(MAX_WAITING);
  }

  private static CompletableFuture<Void> release(SettlementCommitter settlements, int index) {
    ClaimValue value = new ClaimValue("author-" + index, "attempt-" + index, false);
    CompletableFuture<Void> done = new CompletableFuture<>();
    settlements.release(new HeldClaim("/k" + index, value, 1, 1, Long.MAX_VALUE), done);
    return done;
  }
}
