package org.sequoiareach.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.reactivestreams.Subscription;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;

class CompletionWriterTest {

  private static final OrganisationEntry ORGANISATION =
      new OrganisationEntry(
          "acme",
          List.of("digest"),
          5,
          List.of("m"),
          List.of(),
          new PlanEntry(1, 1),
          new LimitsEntry(1, 1));

  @ParameterizedTest
  @CsvSource({"1, 0", "1, 1", "20, 0", "20, 1", "20, 18", "20, 19", "20, 20"})
  void writesReceivedTokensBeforeFailureOfTheirStream(int tokens, int takenBeforeFailure) {
    Flux<AnswerPart> parts =
        Flux.range(1, tokens)
            .map(CompletionWriterTest::token)
            .concatWith(Flux.error(targetFailure()));
    SlowCaller caller = new SlowCaller();

    new CompletionWriter(ORGANISATION, false).toEvents(parts).subscribe(caller);
    caller.request(takenBeforeFailure);
    caller.requestUnbounded();

    assertThat(caller.events).hasSize(tokens + 1);
    assertThat(caller.events.subList(0, tokens)).allMatch(event -> event.startsWith("id: "));
    assertThat(caller.events.get(tokens)).contains("may-have-run");
  }

  private static AnswerPart token(int sequence) {
    byte[] payload = "{\"choices\":[{}]}".getBytes(StandardCharsets.UTF_8);
    return new AnswerPart.Data("e1", "r1-1", sequence, payload);
  }

  private static RequestFailedException targetFailure() {
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, "the engine died", OptionalLong.empty());
  }

  /** Takes events only when it is told to. */
  private static final class SlowCaller extends BaseSubscriber<ByteBuf> {

    private final List<String> events = new ArrayList<>();

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      // Requests nothing yet.
    }

    @Override
    protected void hookOnNext(ByteBuf event) {
      events.add(event.toString(StandardCharsets.UTF_8));
      event.release();
    }
  }
}
