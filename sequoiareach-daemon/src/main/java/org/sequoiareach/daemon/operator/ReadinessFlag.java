package org.sequoiareach.daemon.operator;

import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.decision.effect.Effect;

/** Holds whether the daemon takes callers, for the balancer. Thread-safe. */
public final class ReadinessFlag implements EffectHandler {

  private volatile Effect.SetReady state = new Effect.SetReady(false, "the daemon is starting");

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.SetReady set) {
      state = set;
    }
  }

  /**
   * Returns whether the daemon takes callers.
   *
   * @return true if it does
   */
  public boolean isReady() {
    return state.ready();
  }

  /**
   * Returns why the daemon does not take callers.
   *
   * @return the reason; empty where it does
   */
  public String reason() {
    return state.why();
  }
}
