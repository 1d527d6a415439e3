package org.sequoiareach.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.standin.kv.KvFaults;
import org.sequoiareach.standin.kv.KvSettings;
import org.sequoiareach.standin.kv.KvStandin;
import org.sequoiareach.store.claim.ClaimAnswer;
import org.sequoiareach.store.claim.ClaimKey;
import org.sequoiareach.store.claim.GroupCommitClaimRegistry;
import org.sequoiareach.store.kv.EtcdKeyValueService;
import org.sequoiareach.store.sheet.KeyValueSheetStore;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Runs the sheet store and the claim registry against the key-value stand-in over HTTP. */
class PlatformStandinTest {

  private static final long TIMEOUT_MS = 10_000;

  private final KvStandin standin = new KvStandin(new KvSettings("127.0.0.1:0"));
  private final Scheduler scheduler = Schedulers.newSingle("claims", true);
  private final AtomicInteger calls = new AtomicInteger();
  private EtcdKeyValueService keyValues;

  @BeforeEach
  void start() {
    String address = "127.0.0.1:" + standin.start().getPort();
    keyValues =
        new EtcdKeyValueService(
            List.of(address), HttpClient.create(), call -> calls.incrementAndGet());
  }

  @AfterEach
  void stop() {
    scheduler.dispose();
    standin.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 1_000})
  void exportedSheetIsReadBackUnchanged(int organisations) {
    KeyValueSheetStore store = new KeyValueSheetStore(keyValues);
    Sheet sheet = sheet(organisations);
    assertThat(store.export(sheet, 0, deadline()).join()).isEqualTo(1);
    assertThat(store.findCurrent(Optional.empty(), deadline()).join())
        .contains(sheet.withVersion(1));
    assertThat(store.findHistory(deadline()).join().days()).hasSize(1);
  }

  @Test
  void waitingReaderIsNotifiedOfExport() {
    KeyValueSheetStore store = new KeyValueSheetStore(keyValues);
    store.export(sheet(1), 0, deadline()).join();
    CompletableFuture<Void> change = store.awaitChange(1, deadline());
    assertThat(change).isNotDone();
    store.export(sheet(2), 1, deadline()).join();
    assertThat(change).succeedsWithin(Duration.ofSeconds(5));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3})
  void claimsAreDecidedThoughResponsesAreLost(int lostAnswers) {
    GroupCommitClaimRegistry one = new GroupCommitClaimRegistry(keyValues, scheduler);
    GroupCommitClaimRegistry two = new GroupCommitClaimRegistry(keyValues, scheduler);
    ClaimKey key = new ClaimKey("techos-brno", "dispatch", "k");
    standin.setFaults(new KvFaults(false, 0, lostAnswers, 0, false));
    assertThat(one.claim(key, "a", deadline()).join()).isEqualTo(ClaimAnswer.CLAIMED);
    assertThat(two.claim(key, "b", deadline()).join()).isEqualTo(ClaimAnswer.HELD_BY_OTHER);
    standin.setFaults(new KvFaults(false, 0, lostAnswers, 0, false));
    one.settle(key, "a", Verdict.NOT_RUN).join();
    assertThat(two.claim(key, "c", deadline()).join()).isEqualTo(ClaimAnswer.CLAIMED);
    two.settle(key, "c", Verdict.RAN).join();
    assertThat(one.claim(key, "d", deadline()).join()).isEqualTo(ClaimAnswer.FINISHED_BY_OTHER);
  }

  @Test
  void claimDuringOutageIsUnavailableAndLeavesNoEntry() {
    GroupCommitClaimRegistry registry = new GroupCommitClaimRegistry(keyValues, scheduler);
    ClaimKey key = new ClaimKey("techos-brno", "dispatch", "k");
    standin.setFaults(new KvFaults(true, 0, 0, 0, false));
    long deadlineMs = MonotonicClock.nowMs() + 300;
    assertThat(registry.claim(key, "a", deadlineMs).join()).isEqualTo(ClaimAnswer.UNAVAILABLE);
    standin.setFaults(KvFaults.NONE);
    assertThat(registry.claim(key, "b", deadline()).join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @Test
  void concurrentClaimsAreBatched() {
    GroupCommitClaimRegistry registry = new GroupCommitClaimRegistry(keyValues, scheduler);
    List<CompletableFuture<ClaimAnswer>> claims =
        IntStream.range(0, 3_000)
            .mapToObj(i -> new ClaimKey("techos-brno", "dispatch", "k" + i))
            .map(key -> registry.claim(key, key.idempotencyKey(), deadline()))
            .toList();
    assertThat(claims).allMatch(claim -> claim.join() == ClaimAnswer.CLAIMED);
    assertThat(calls.get()).isLessThan(150);
  }

  private static Sheet sheet(int organisations) {
    List<OrganisationEntry> entries =
        IntStream.range(0, organisations)
            .mapToObj(
                i ->
                    new OrganisationEntry(
                        "organisation-" + i,
                        List.of(),
                        5,
                        List.of("m"),
                        List.of(),
                        new PlanEntry(i, i),
                        new LimitsEntry(1, 1)))
            .toList();
    return new Sheet(0, List.of(new ModelEntry("m", "1", 1, 1, 1)), List.of(), entries);
  }

  private static long deadline() {
    return MonotonicClock.nowMs() + TIMEOUT_MS;
  }
}
