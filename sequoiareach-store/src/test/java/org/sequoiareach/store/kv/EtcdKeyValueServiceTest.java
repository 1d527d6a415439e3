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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.http.HttpFixture;
import org.sequoiareach.store.time.MonotonicClock;

class EtcdKeyValueServiceTest {

  private static final String NOT_LISTENING = "127.0.0.1:1";
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

  @ParameterizedTest
  @MethodSource({"reads", "writes"})
  void callThatCouldNotConnectHasNotRun(Call call) {
    try (HttpFixture http = HttpFixture.answering(200, "{}")) {
      KeyValueService service = service(http, NOT_LISTENING);
      assertThat(verdictOf(call.apply(service, within(2_000)))).isEqualTo(Verdict.NOT_RUN);
    }
  }

  @ParameterizedTest
  @MethodSource("writes")
  void writeWithoutAnswerMayHaveRun(Call call) {
    try (HttpFixture http = HttpFixture.silent()) {
      KeyValueService service = service(http, http.address());
      assertThat(verdictOf(call.apply(service, within(200)))).isEqualTo(Verdict.MAY_HAVE_RUN);
    }
  }

  @ParameterizedTest
  @MethodSource("reads")
  void readWithoutAnswerHasNotRun(Call call) {
    try (HttpFixture http = HttpFixture.silent()) {
      KeyValueService service = service(http, http.address());
      assertThat(verdictOf(call.apply(service, within(200)))).isEqualTo(Verdict.NOT_RUN);
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
  void statusOfWriteDecidesItsVerdict(int status, Verdict expected) {
    try (HttpFixture http = HttpFixture.answering(status, "{}")) {
      CompletableFuture<?> call = service(http, http.address()).commit(WRITE, within(2_000));
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
  void unreadableAnswerToWriteMayHaveRun(String body) {
    try (HttpFixture http = HttpFixture.answering(200, body)) {
      CompletableFuture<?> call = service(http, http.address()).commit(WRITE, within(2_000));
      assertThat(verdictOf(call)).isEqualTo(Verdict.MAY_HAVE_RUN);
    }
  }

  @Test
  void answerWithoutEndIsCutOff() {
    try (HttpFixture http = HttpFixture.endless()) {
      KeyValueService service = service(http, http.address());
      CompletableFuture<?> call = service.find("k", within(20_000));
      assertThat(failureOf(call)).hasMessageContaining("longer than");
    }
  }

  @Test
  void nextCallGoesToTheNextAddress() {
    try (HttpFixture http = HttpFixture.answering(200, "{}")) {
      KeyValueService service = service(http, NOT_LISTENING, http.address());
      assertThat(verdictOf(service.find("k", within(2_000)))).isEqualTo(Verdict.NOT_RUN);
      assertThat(service.find("k", within(2_000)).join()).isEmpty();
    }
  }

  @Test
  void everyCallIsSentOnceAndCounted() {
    List<KeyValueCall> counted = Collections.synchronizedList(new ArrayList<>());
    try (HttpFixture http = HttpFixture.dropping()) {
      KeyValueService service =
          new EtcdKeyValueService(List.of(http.address()), http.client(), counted::add);
      assertThat(verdictOf(service.commit(WRITE, within(2_000)))).isEqualTo(Verdict.MAY_HAVE_RUN);
      assertThat(http.requests()).isEqualTo(1);
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
  void watchTellsTheNewEntry(String lines, String expected) {
    try (HttpFixture http = HttpFixture.answering(200, lines.replace('~', '\n'))) {
      KeyValueService service = service(http, http.address());
      Optional<KeyValueEntry> entry = service.watch("k", 1, within(2_000)).join();
      assertThat(entry.map(KeyValueEntry::value).orElse("")).isEqualTo(expected);
    }
  }

  private static KeyValueService service(HttpFixture http, String... addresses) {
    return new EtcdKeyValueService(List.of(addresses), http.client(), KeyValueCallListener.NONE);
  }

  private static long within(long ms) {
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
