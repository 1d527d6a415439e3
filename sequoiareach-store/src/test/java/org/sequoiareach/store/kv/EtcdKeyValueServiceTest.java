package org.sequoiareach.store.kv;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.http.TestHttpServer;
import org.sequoiareach.store.time.MonotonicClock;

class EtcdKeyValueServiceTest {

  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";
  private static final Transaction WRITE =
      new Transaction(
          List.of(new Transaction.Condition("k", 0)),
          List.of(new Transaction.Put("k", "v", 0)),
          List.of());

  /** Makes one call that fails. */
  interface Call extends BiFunction<KeyValueService, Long, CompletableFuture<?>> {}

  static Stream<Call> reads() {
    return Stream.of(
        (service, deadlineMs) -> service.find("k", deadlineMs),
        (service, deadlineMs) -> service.findAll(List.of("k"), deadlineMs),
        (service, deadlineMs) -> service.list("k", deadlineMs),
        (service, deadlineMs) -> service.watch("k", 1, deadlineMs));
  }

  static Stream<Call> writes() {
    return Stream.of(
        (service, deadlineMs) -> service.commit(WRITE, deadlineMs),
        (service, deadlineMs) -> service.grantLease(60, deadlineMs),
        (service, deadlineMs) -> service.keepLeaseAlive(7, deadlineMs),
        (service, deadlineMs) -> service.revokeLease(7, deadlineMs));
  }

  /** The first call of a JVM takes longer than the short deadlines below. */
  @BeforeAll
  static void loadClasses() {
    try (TestHttpServer server = TestHttpServer.answering(200, "{}")) {
      service(server, server.address()).find("k", deadlineAfter(20_000)).join();
    }
  }

  @ParameterizedTest
  @MethodSource({"reads", "writes"})
  void callThatCannotConnectHasNotRun(Call call) {
    try (TestHttpServer server = TestHttpServer.answering(200, "{}")) {
      KeyValueService service = service(server, UNREACHABLE_ADDRESS);
      assertThat(verdictOf(call.apply(service, deadlineAfter(2_000)))).isEqualTo(Verdict.NOT_RUN);
    }
  }

  @ParameterizedTest
  @MethodSource("writes")
  void writeWithoutResponseMayHaveRun(Call call) {
    try (TestHttpServer server = TestHttpServer.silent()) {
      KeyValueService service = service(server, server.address());
      assertThat(verdictOf(call.apply(service, deadlineAfter(1_000))))
          .isEqualTo(Verdict.MAY_HAVE_RUN);
    }
  }

  @ParameterizedTest
  @MethodSource("reads")
  void readWithoutResponseHasNotRun(Call call) {
    try (TestHttpServer server = TestHttpServer.silent()) {
      KeyValueService service = service(server, server.address());
      assertThat(verdictOf(call.apply(service, deadlineAfter(200)))).isEqualTo(Verdict.NOT_RUN);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "400,NOT_RUN",
    "429,NOT_RUN",
    "404,NOT_RUN",
    "500,MAY_HAVE_RUN",
    "503,MAY_HAVE_RUN",
    "504,MAY_HAVE_RUN",
    "302,MAY_HAVE_RUN"
  })
  void statusOfWriteDeterminesVerdict(int status, Verdict expected) {
    try (TestHttpServer server = TestHttpServer.answering(status, "{}")) {
      CompletableFuture<?> call =
          service(server, server.address()).commit(WRITE, deadlineAfter(2_000));
      assertThat(verdictOf(call)).isEqualTo(expected);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "''",
        "null",
        "[]",
        "not json",
        "{}",
        "{\"succeeded\":true}",
        "{\"header\":{\"revision\":\"-3\"},\"succeeded\":true}",
        "{\"header\":{\"revision\":\"many\"}}",
        "{\"header\":{\"revision\":\"9\"},\"responses\":[{\"response_range\":{\"kvs\":[{}]}}]}",
        "{\"header\":{\"revision\":\"9\"},\"responses\":[null]}",
        "{\"header\":{\"revision\":\"9\"},\"responses\":[{\"response_range\":"
            + "{\"kvs\":[{\"key\":\"%%%\"}]}}]}"
      })
  void writeWithUnreadableResponseMayHaveRun(String body) {
    try (TestHttpServer server = TestHttpServer.answering(200, body)) {
      CompletableFuture<?> call =
          service(server, server.address()).commit(WRITE, deadlineAfter(2_000));
      assertThat(verdictOf(call)).isEqualTo(Verdict.MAY_HAVE_RUN);
    }
  }

  @Test
  void endlessResponseIsRejected() {
    try (TestHttpServer server = TestHttpServer.endless()) {
      KeyValueService service = service(server, server.address());
      CompletableFuture<?> call = service.find("k", deadlineAfter(20_000));
      assertThat(failureOf(call)).hasMessageContaining("longer than");
    }
  }

  @Test
  void nextCallAfterFailureUsesNextAddress() {
    try (TestHttpServer server = TestHttpServer.answering(200, "{}")) {
      KeyValueService service = service(server, UNREACHABLE_ADDRESS, server.address());
      assertThat(verdictOf(service.find("k", deadlineAfter(2_000)))).isEqualTo(Verdict.NOT_RUN);
      assertThat(service.find("k", deadlineAfter(2_000)).join()).isEmpty();
    }
  }

  @Test
  void everyCallIsSentOnceAndCounted() {
    List<KeyValueCall> counted = Collections.synchronizedList(new ArrayList<>());
    try (TestHttpServer server = TestHttpServer.dropping()) {
      KeyValueService service =
          new EtcdKeyValueService(List.of(server.address()), server.client(), counted::add);
      assertThat(verdictOf(service.commit(WRITE, deadlineAfter(2_000))))
          .isEqualTo(Verdict.MAY_HAVE_RUN);
      assertThat(server.requests()).isEqualTo(1);
      assertThat(counted).containsExactly(KeyValueCall.WRITE);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"result\":{\"created\":true}}~{\"result\":{\"events\":[{\"kv\":{\"key\":\"aw==\","
            + "\"value\":\"dg==\",\"mod_revision\":\"5\"}}]}}~|v",
        "{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{\"key\":\"aw==\"}}]}}~|''"
      })
  void watchReturnsNewEntry(String lines, String expected) {
    try (TestHttpServer server = TestHttpServer.answering(200, lines.replace('~', '\n'))) {
      KeyValueService service = service(server, server.address());
      Optional<KeyValueEntry> entry = service.watch("k", 1, deadlineAfter(2_000)).join();
      assertThat(entry.map(KeyValueEntry::value).orElse("")).isEqualTo(expected);
    }
  }

  private static KeyValueService service(TestHttpServer server, String... addresses) {
    return new EtcdKeyValueService(List.of(addresses), server.client(), KeyValueCallListener.NONE);
  }

  private static long deadlineAfter(long ms) {
    return MonotonicClock.nowMs() + ms;
  }

  private static Verdict verdictOf(CompletableFuture<?> call) {
    return failureOf(call).verdict();
  }

  private static KeyValueException failureOf(CompletableFuture<?> call) {
    CompletionException e = catchThrowableOfType(CompletionException.class, call::join);
    assertThat(e).isNotNull().hasCauseInstanceOf(KeyValueException.class);
    return (KeyValueException) e.getCause();
  }
}
