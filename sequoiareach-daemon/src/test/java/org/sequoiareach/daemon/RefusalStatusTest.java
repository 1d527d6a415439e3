package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.standin.engine.EngineFaults;

/** Tests that the status of a failed request promises no more than its verdict. */
class RefusalStatusTest {

  private static final String VERDICT_HEADER = "Sequoiareach-Verdict";

  private static LocalDeployment deployment;

  @BeforeAll
  static void start() {
    deployment = new LocalDeployment(3);
    deployment.startDaemon("d1");
    deployment.startDaemon("d2");
    deployment.setEngineFaults(
        new EngineFaults(1, 0, 0, 0, true, 0, OptionalLong.empty(), false, false));
    deployment
        .engines
        .get("e1")
        .setFaults(new EngineFaults(1, 0, 100, 0, false, 0, OptionalLong.empty(), false, false));
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  /** Guards against a status of refusal for a request that an engine may have run. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void requestThatMayHaveRunIsNotAnsweredAsRefused(int daemon) {
    List<Integer> statuses =
        IntStream.range(0, 12)
            .mapToObj(
                i -> deployment.stream(deployment.daemons.get(daemon), "m" + daemon + i, 9).join())
            .filter(RefusalStatusTest::mayHaveRun)
            .map(HttpResponse::statusCode)
            .toList();
    assertThat(statuses).isNotEmpty().doesNotContain(408, 421, 429, 503);
  }

  private static boolean mayHaveRun(HttpResponse<String> answer) {
    return answer.headers().firstValue(VERDICT_HEADER).orElse("").equals("may-have-run");
  }
}
