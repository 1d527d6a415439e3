package org.sequoiareach.store.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiareach.store.prefix.PrefixStoreException.Kind;

class StoreProbeTest {

  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final FakeStore store = new FakeStore();
  private final BlockingQueue<Boolean> contacts = new LinkedBlockingQueue<>();

  @BeforeEach
  void start() {
    new StoreProbe(store, timer, (reachable, detail) -> contacts.add(reachable)).start();
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  @Test
  void tellsOfEachAnswerAndEachFailure() throws InterruptedException {
    store.next("probe").complete(null);
    assertThat(contacts.poll(5, TimeUnit.SECONDS)).isTrue();

    store
        .next("probe")
        .completeExceptionally(new PrefixStoreException(Kind.UNAVAILABLE, "503", null));
    assertThat(contacts.poll(5, TimeUnit.SECONDS)).isFalse();

    store.next("probe").complete(null);
    assertThat(contacts.poll(5, TimeUnit.SECONDS)).isTrue();
  }
}
