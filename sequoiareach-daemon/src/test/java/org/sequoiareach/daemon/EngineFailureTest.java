package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.target.RawTarget;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.standin.server.Exchanges;

/** Tests what callers are told about requests to an engine that fails as no stand-in does. */
class EngineFailureTest {

  private static final String VERDICT_HEADER = "Sequoiareach-Verdict";
  private static final Pattern COMPLETION_ID = Pattern.compile("\"id\":\"(chatcmpl-[^\"]+)\"");
  private static final EngineLoad LOAD =
      new EngineLoad(20_000, 0, 16, 0, 0, 0, 1, 20, false, List.of("contract-70b"));

  /** An event of several lines, each within the limit of a line, that no peer frame can hold. */
  private static final String LARGE_EVENT =
      "id: 1\n" + ("data: \"" + "x".repeat(1_000_000) + "\"\n").repeat(5) + "\n";

  private static LocalDeployment deployment;
  private static RawTarget engine;
  private static volatile String firstEvent;

  @BeforeAll
  static void start() throws IOException {
    deployment = new LocalDeployment(0);
    engine = new RawTarget(EngineFailureTest::serve);
    deployment.putVm("e1", VmKind.ENGINE, engine.address(), "contract-70b", false);
    deployment.startDaemon("d1");
    deployment.startDaemon("d2");
  }

  @AfterAll
  static void stop() throws IOException {
    deployment.close();
    engine.close();
  }

  /** Guards against a promise of not run for a generation whose answer could not be relayed. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void answerTooLargeForPeerIsNotReportedAsNotRun(int daemon) {
    firstEvent = LARGE_EVENT;
    HttpResponse<String> answer = deployment.stream(deployment.daemons.get(daemon), "m", 1).join();
    assertThat(answer.headers().firstValue(VERDICT_HEADER)).isPresent();
    assertThat(answer.headers().firstValue(VERDICT_HEADER).get()).isNotEqualTo("not-run");
  }

  /** Guards against a promise of not run for a cancellation whose answer was lost. */
  @Test
  void cancellationWithoutAnswerMayHaveRun() {
    firstEvent = "id: 1\ndata: {\"id\":\"chatcmpl-x\",\"choices\":[]}\n\n";
    Daemon daemon = deployment.daemons.get(0);
    String stream = deployment.stream(daemon, "m", 1).join().body();
    Matcher id = COMPLETION_ID.matcher(stream);
    assertThat(id.find()).as(stream).isTrue();
    HttpRequest cancel =
        deployment
            .request(daemon, LocalDeployment.KEY, "/v1/chat/completions/" + id.group(1))
            .DELETE()
            .build();
    HttpResponse<String> answer = deployment.send(cancel).join();
    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.headers().firstValue(VERDICT_HEADER)).contains("may-have-run");
  }

  private static void serve(Socket socket) throws IOException {
    String head = RawTarget.readRequest(socket);
    while (!head.isEmpty() && !head.startsWith("DELETE")) {
      if (head.startsWith("POST")) {
        RawTarget.respond(
            socket, 200, "text/event-stream", firstEvent + "id: 2\ndata: {}\n\ndata: [DONE]\n\n");
      } else {
        RawTarget.respond(socket, 200, "application/json", Exchanges.write(LOAD));
      }
      head = RawTarget.readRequest(socket);
    }
  }
}
