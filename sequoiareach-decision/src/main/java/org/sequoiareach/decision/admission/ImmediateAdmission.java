package org.sequoiareach.decision.admission;

import java.util.OptionalLong;

/**
 * Sends each call at once or refuses it; calls beyond the slots are queued at engines. The baseline
 * that {@link LateBindingAdmission} is compared with.
 */
public final class ImmediateAdmission implements AdmissionStrategy {

  @Override
  public boolean accepts(WaitingCall call, EngineLoad engine, ServicePace pace) {
    return true;
  }

  @Override
  public AdmissionDecision decide(long nowMs, AdmissionRequest request) {
    return request.placeable()
        ? new AdmissionDecision.Send()
        : new AdmissionDecision.Refuse(OptionalLong.empty(), "");
  }
}
