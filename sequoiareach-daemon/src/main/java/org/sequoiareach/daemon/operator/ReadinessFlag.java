package org.sequoiareach.daemon.operator;

import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.decision.effect.Effect;

/** The readiness of a daemon to accept requests, as queried by the load balancer. Thread-safe. */
public final class ReadinessFlag implements EffectHandler {

  private volatile Effect.SetReady state = new Effect.SetReady(false, "the daemon is starting");

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.SetReady set) {
      state = set;
    }
  }

  /**
   * Returns whether the daemon accepts requests.
   *
   * @return true if it does
   */
  public boolean isReady() {
    return state.ready();
  }

  /**
   * Returns why the daemon is not ready.
   *
   * @return the reason; empty if it is ready
   */
  public String reason() {
    return state.why();
  }
}
