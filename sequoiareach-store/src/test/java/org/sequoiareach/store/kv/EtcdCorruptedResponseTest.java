package org.sequoiareach.store.kv;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import org.sequoiareach.store.http.TestHttpServer;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Guards against calls that never complete, or fail without a verdict, when a response of the
 * key-value service is corrupted.
 */
class EtcdCorruptedResponseTest {

  private static final String RESPONSE =
      "{\"header\":{\"revision\":\"9\"},\"succeeded\":false,\"ID\":\"7\","
          + "\"kvs\":[{\"key\":\"aw==\",\"value\":\"dg==\",\"mod_revision\":\"5\"}],"
          + "\"result\":{\"created\":true,\"TTL\":\"3\"},"
          + "\"responses\":[{\"response_range\":{\"kvs\":[{\"key\":\"aw==\"}]}}]}\n";
  private static final long TIMEOUT_MS = 2_000;

  private static volatile String body = RESPONSE;
  private static final TestHttpServer HTTP = TestHttpServer.answering(() -> body);

  @AfterContainer
  static void stop() {
    HTTP.close();
  }

  @Property(tries = 300, seed = "20261203")
  void everyCallCompletesWithValueOrVerdict(@ForAll("bodies") String corrupted) throws Exception {
    body = corrupted;
    KeyValueService service =
        new EtcdKeyValueService(List.of(HTTP.address()), HTTP.client(), KeyValueCallListener.NONE);
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    Transaction write =
        new Transaction(List.of(), List.of(new Transaction.Put("k", "v", 0)), List.of());
    List<CompletableFuture<?>> calls =
        List.of(
            service.find("k", deadlineMs),
            service.findAll(List.of("k", "l"), deadlineMs),
            service.commit(write, deadlineMs),
            service.grantLease(60, deadlineMs),
            service.keepLeaseAlive(7, deadlineMs),
            service.watch("k", 1, deadlineMs));
    for (CompletableFuture<?> call : calls) {
      assertCompletes(call);
    }
  }

  private static void assertCompletes(CompletableFuture<?> call)
      throws InterruptedException, TimeoutException {
    try {
      call.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      assertThat(e.getCause()).isInstanceOf(KeyValueException.class);
    }
  }

  @Provide
  Arbitrary<String> bodies() {
    Arbitrary<String> replacement =
        Arbitraries.oneOf(
            Arbitraries.of("", "\"", "null", "-1", "[", "{}", "1e999", "\n", "%%", "\u0000"),
            Arbitraries.strings().ofMaxLength(10));
    return Combinators.combine(
            Arbitraries.integers().between(0, RESPONSE.length() - 1),
            Arbitraries.integers().between(0, 30),
            replacement)
        .as(
            (from, length, text) ->
                RESPONSE.substring(0, from)
                    + text
                    + RESPONSE.substring(Math.min(RESPONSE.length(), from + length)));
  }
}
