package org.sequoiareach.store.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.store.prefix.PrefixStoreException.Kind;
import org.sequoiareach.store.time.MonotonicClock;

class PrefixWatcherTest {

  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final FakePrefixStore store = new FakePrefixStore();
  private final RecordingListener listener = new RecordingListener();
  private PrefixWatcher watcher;

  @BeforeEach
  void start() {
    watcher = new PrefixWatcher(store, "p/", timer, listener);
    watcher.watch(1_000, 250);
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  @Test
  void awaitsChangesAfterRevisionOfLastRead() throws InterruptedException {
    store.next("read").complete(new PrefixSnapshot(List.of(entry("p/a", 3)), 7));

    FakePrefixStore.Call watch = store.nextCall("watch 7");
    watch.answer().complete(new PrefixChanges(List.of(entry("p/b", 9)), 9));

    store.nextCall("watch 9");
    assertThat(listener.events).containsExactly("snapshot p/a", "change p/b");
  }

  /** Revisions that were given out again may hide changes before the one that is reported. */
  @Test
  void readsAllKeysAgainIfWatchIsAnsweredInAnotherEra() throws InterruptedException {
    store.next("read").complete(new PrefixSnapshot(List.of(), StorePosition.of(1, 7)));

    store
        .nextCall("watch " + StorePosition.of(1, 7))
        .answer()
        .complete(new PrefixChanges(List.of(entry("p/b", 9)), StorePosition.of(2, 9)));
    store
        .next("read")
        .complete(new PrefixSnapshot(List.of(entry("p/c", 8)), StorePosition.of(2, 9)));

    store.nextCall("watch " + StorePosition.of(2, 9));
    assertThat(listener.events).containsExactly("snapshot", "snapshot p/c");
  }

  /** A store that has discarded its history may accept a watch that it cannot serve. */
  @ParameterizedTest
  @EnumSource(Kind.class)
  void readsAllKeysAgainAfterFailedWatch(Kind kind) throws InterruptedException {
    store.next("read").complete(new PrefixSnapshot(List.of(), 7));

    store
        .nextCall("watch 7")
        .answer()
        .completeExceptionally(new PrefixStoreException(kind, "the connection was cut", null));
    store.next("read").complete(new PrefixSnapshot(List.of(entry("p/c", 12)), 12));

    store.nextCall("watch 12");
    assertThat(listener.events).containsExactly("snapshot", "snapshot p/c");
  }

  @Test
  void retriesWhileStoreIsUnavailable() throws InterruptedException {
    store
        .next("read")
        .completeExceptionally(new PrefixStoreException(Kind.UNAVAILABLE, "503", null));
    store.next("read").complete(new PrefixSnapshot(List.of(), 1));

    store.nextCall("watch 1");
    assertThat(listener.reachability).containsExactly(false, true);
  }

  /** The response of the abandoned watch may be old by then, and must not be taken for the read. */
  @Test
  void abandonsPendingWatchForSingleRead() throws InterruptedException {
    store.next("read").complete(new PrefixSnapshot(List.of(), 7));
    final FakePrefixStore.Call watch = store.nextCall("watch 7");

    watcher.readOnce();
    CompletableFuture<Object> read = store.next("read");
    watch.answer().complete(new PrefixChanges(List.of(entry("p/b", 9)), 9));
    read.complete(new PrefixSnapshot(List.of(entry("p/c", 12)), 12));

    await(() -> listener.events.size() == 2);
    assertThat(listener.events).containsExactly("snapshot", "snapshot p/c");
    assertThat(store.hasCall()).isFalse();
  }

  @Test
  void makesNoFurtherCallAfterStop() throws InterruptedException {
    store.next("read").complete(new PrefixSnapshot(List.of(), 7));
    FakePrefixStore.Call watch = store.nextCall("watch 7");

    watcher.stop();
    watch.answer().complete(new PrefixChanges(List.of(entry("p/b", 9)), 9));

    await(() -> listener.events.size() == 2);
    assertThat(listener.events).containsExactly("snapshot", "change p/b");
    assertThat(store.hasCall()).isFalse();
  }

  @Test
  void doesNotRepeatSingleReadThatFailed() throws InterruptedException {
    store
        .next("read")
        .completeExceptionally(new PrefixStoreException(Kind.UNAVAILABLE, "503", null));
    await(() -> !listener.reachability.isEmpty());
    watcher.readOnce();

    store
        .next("read")
        .completeExceptionally(new PrefixStoreException(Kind.UNAVAILABLE, "503", null));

    await(() -> listener.reachability.size() == 2);
    assertThat(store.hasCall()).isFalse();
  }

  /** A change is reported as it is sent, but the store may have been asked long before. */
  @Test
  void reportsStartOfWatchAsTimeOfItsChanges() throws InterruptedException {
    store.next("read").complete(new PrefixSnapshot(List.of(), 7));
    FakePrefixStore.Call watch = store.nextCall("watch 7");
    final long watchedMs = MonotonicClock.nowMs();
    TimeUnit.MILLISECONDS.sleep(50);

    watch.answer().complete(new PrefixChanges(List.of(entry("p/b", 9)), 9));

    await(() -> listener.currentMs.size() == 2);
    assertThat(listener.currentMs.get(1)).isLessThanOrEqualTo(watchedMs);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineMs = MonotonicClock.nowMs() + 5_000;
    while (!condition.getAsBoolean()) {
      assertThat(MonotonicClock.nowMs()).as("time while waiting").isLessThan(deadlineMs);
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private static PrefixEntry entry(String key, long revision) {
    return new PrefixEntry(key, revision, Optional.of("v".getBytes(StandardCharsets.UTF_8)));
  }

  private static final class RecordingListener implements PrefixListener {

    private final List<String> events = new CopyOnWriteArrayList<>();
    private final List<Boolean> reachability = new CopyOnWriteArrayList<>();
    private final List<Long> currentMs = new CopyOnWriteArrayList<>();

    @Override
    public void onSnapshot(PrefixSnapshot snapshot) {
      StringBuilder text = new StringBuilder("snapshot");
      snapshot.entries().forEach(entry -> text.append(' ').append(entry.key()));
      events.add(text.toString());
    }

    @Override
    public void onChanges(List<PrefixEntry> changes) {
      changes.forEach(entry -> events.add("change " + entry.key()));
    }

    @Override
    public void onCurrent(long asOfMs) {
      currentMs.add(asOfMs);
    }

    @Override
    public void onCallCompleted(boolean reachable, String detail) {
      reachability.add(reachable);
    }
  }
}
