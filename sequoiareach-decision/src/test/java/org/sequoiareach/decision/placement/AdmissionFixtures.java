package org.sequoiareach.decision.placement;

import java.util.List;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;

/** Creates attempts and load reports for tests. */
final class AdmissionFixtures {

  private AdmissionFixtures() {}

  static PendingAttempt attempt(String id, int priority, int prompt, int max, long deadlineMs) {
    return attempt(id, priority, prompt, max, deadlineMs, "draft");
  }

  static PendingAttempt attempt(
      String id, int priority, int prompt, int max, long deadlineMs, String callClass) {
    RequestSpec spec =
        new RequestSpec(
            id,
            "org",
            RequestKind.GENERATION,
            "model",
            callClass,
            true,
            "",
            prompt,
            max,
            List.of(),
            true);
    return new PendingAttempt(id, spec, priority, deadlineMs);
  }

  static EngineLoad load(int totalBlocks, int usedBlocks, int blockTokens) {
    return load(totalBlocks, usedBlocks, blockTokens, 0, 0);
  }

  static EngineLoad load(
      int totalBlocks, int usedBlocks, int blockTokens, int running, double stepMs) {
    return new EngineLoad(
        totalBlocks, usedBlocks, blockTokens, running, 0, 0, 0, stepMs, false, List.of("model"));
  }
}
