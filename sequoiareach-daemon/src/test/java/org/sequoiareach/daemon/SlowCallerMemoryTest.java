package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.internal.PlatformDependent;
import java.io.BufferedReader;
import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiareach.standin.engine.EngineSettings;
import org.sequoiareach.standin.engine.GenerationState;
import org.sequoiareach.standin.engine.StepSettings;

/**
 * Tests that the answer for a caller that does not read is not buffered in memory, and that the
 * caller still gets all of it later.
 */
@Timeout(40)
class SlowCallerMemoryTest {

  private static final StepSettings FAST_STEPS = new StepSettings(0.02, 0, 0, 0.001, 4_096, 64);
  private static final int TOKENS = 20_000;
  private static final int MARKER_CHARS = 2_000;
  private static final long MAX_BUFFERED_BYTES = 16L << 20;

  @Test
  void buffersLittleForCallersThatDoNotRead() throws Exception {
    try (LocalDeployment deployment = new LocalDeployment(0)) {
      deployment.addEngine(EngineSettings.of("e1", "contract-70b").withSteps(FAST_STEPS));
      Daemon daemon = deployment.startDaemon("d1");
      String marker = "x".repeat(MARKER_CHARS);
      final long usedBefore = usedBytes();
      try (BufferedReader stream = deployment.open(daemon, marker, TOKENS)) {
        LocalDeployment.await(
            "the generation is finished",
            () -> deployment.generations(marker).get(0).state() == GenerationState.FINISHED);
        assertThat(usedBytes() - usedBefore).as("buffered bytes").isLessThan(MAX_BUFFERED_BYTES);
        String whole = String.join("\n", stream.lines().toList());
        assertThat(whole.length()).isGreaterThan(TOKENS * MARKER_CHARS);
        assertThat(CompletionStreams.contents(whole))
            .isEqualTo(CompletionStreams.expectedContents(marker, 1, TOKENS));
      }
      assertThat(countResumed(deployment, daemon)).as("resumed attempts").isZero();
    }
  }

  private static long countResumed(LocalDeployment deployment, Daemon daemon) {
    return deployment
        .json(daemon, "/metrics")
        .path("meters")
        .path("attempts.resumed")
        .path("count")
        .asLong();
  }

  /** Returns the used bytes of this process: the heap after a collection plus direct buffers. */
  private static long usedBytes() {
    System.gc();
    long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    return heap + PlatformDependent.usedDirectMemory();
  }
}
