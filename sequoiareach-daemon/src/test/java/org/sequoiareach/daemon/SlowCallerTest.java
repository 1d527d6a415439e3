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

/** A caller that reads late gets everything, and fills no memory meanwhile. */
@Timeout(40)
class SlowCallerTest {

  private static final StepSettings QUICK = new StepSettings(0.02, 0, 0, 0.001, 4_096, 64);
  private static final int TOKENS = 20_000;
  private static final int MARKER_CHARS = 2_000;
  private static final long MOST_BYTES_HELD = 16L << 20;

  @Test
  void holdsLittleForCallersThatReadNothing() throws Exception {
    try (Deployment deployment = new Deployment(0)) {
      deployment.addEngine(EngineSettings.of("e1", "contract-70b").withSteps(QUICK));
      Daemon daemon = deployment.startDaemon("d1");
      String marker = "x".repeat(MARKER_CHARS);
      final long usedBefore = usedBytes();
      try (BufferedReader stream = deployment.open(daemon, marker, TOKENS)) {
        Deployment.await(
            "the engine is done",
            () -> deployment.generations(marker).get(0).state() == GenerationState.FINISHED);
        assertThat(usedBytes() - usedBefore).as("bytes held").isLessThan(MOST_BYTES_HELD);
        String whole = String.join("\n", stream.lines().toList());
        assertThat(whole.length()).isGreaterThan(TOKENS * MARKER_CHARS);
        assertThat(Streams.contents(whole)).isEqualTo(Streams.expected(marker, 1, TOKENS));
      }
      assertThat(resumed(deployment, daemon)).as("resumed attempts").isZero();
    }
  }

  private static long resumed(Deployment deployment, Daemon daemon) {
    return deployment
        .json(daemon, "/metrics")
        .path("meters")
        .path("attempts.resumed")
        .path("count")
        .asLong();
  }

  /** Returns the bytes live in this process: heap after a collection, and direct buffers. */
  private static long usedBytes() {
    System.gc();
    long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    return heap + PlatformDependent.usedDirectMemory();
  }
}
