package org.sequoiareach.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.peer.AttemptMessage;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

class ForwardedAnswerRelayTest {

  private static final RequestSpec SPEC =
      new RequestSpec(
          "r1", "acme", RequestKind.GENERATION, "m", "", true, "", 1, 100, List.of(), true);
  private static final AttemptMessage.OpenAttempt OPENED =
      new AttemptMessage.OpenAttempt(
          "r1-1", "e1", SPEC, 5, 1, 1_000, "POST", "/", List.of(), new byte[0]);

  private final List<Outcome> ended = new ArrayList<>();

  /** Guards against reporting an attempt as not run because a part of its answer was not sent. */
  @ParameterizedTest
  @EnumSource(names = {"NO_CAPACITY", "OWNER_FAILED", "CANCELLED", "SLOW_CALLER", "TOO_LARGE"})
  void attemptWhoseAnswerCannotBeRelayedMayHaveRun(Reason reason) {
    relay(failure(reason)).addAttempt(Flux.just(new AnswerPart.Data("e1", "r1-1", 1, new byte[1])));
    assertThat(ended).extracting(Outcome::verdict).containsExactly(Verdict.MAY_HAVE_RUN);
    assertThat(ended).extracting(Outcome::reason).containsExactly(Optional.of(reason));
  }

  @ParameterizedTest
  @EnumSource(names = {"NO_CAPACITY", "NOT_READY", "TARGET_FAILED"})
  void attemptThatFailedBeforeItsAnswerKeepsItsVerdict(Reason reason) {
    relay(failure(Reason.INTERNAL)).addAttempt(Flux.error(failure(reason)));
    assertThat(ended).extracting(Outcome::verdict).containsExactly(Verdict.NOT_RUN);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8, 9, 30})
  void relaysReceivedPartsBeforeFailureOfTheirStream(int parts) {
    List<Long> sent = new ArrayList<>();
    Sinks.Empty<Void> written = Sinks.empty();
    Flux<AnswerPart> answer =
        Flux.range(1, parts).map(n -> new AnswerPart.Data("e1", "r1-1", n, new byte[1]));
    relay(
            message -> {
              sent.add(((AttemptMessage.AttemptData) message).sequence());
              return written.asMono();
            })
        .addAttempt(answer.concatWith(Flux.error(failure(Reason.TARGET_FAILED))));

    written.tryEmitEmpty();

    assertThat(sent).containsExactlyElementsOf(LongStream.rangeClosed(1, parts).boxed().toList());
    assertThat(ended)
        .extracting(Outcome::reason)
        .containsExactly(Optional.of(Reason.TARGET_FAILED));
  }

  private ForwardedAnswerRelay relay(RequestFailedException sendFailure) {
    return relay(message -> Mono.error(sendFailure));
  }

  private ForwardedAnswerRelay relay(Function<AttemptMessage, Mono<Void>> send) {
    ForwardedAnswerRelay.MessageSender sender =
        new ForwardedAnswerRelay.MessageSender() {
          @Override
          public Mono<Void> send(AttemptMessage message) {
            return send.apply(message);
          }

          @Override
          public void end(Outcome outcome) {
            ended.add(outcome);
          }
        };
    return new ForwardedAnswerRelay(OPENED, sender);
  }

  private static RequestFailedException failure(Reason reason) {
    return new RequestFailedException(
        Verdict.NOT_RUN, reason, "not written to the connection", OptionalLong.empty());
  }
}
