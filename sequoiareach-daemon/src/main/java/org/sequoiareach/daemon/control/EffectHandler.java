package org.sequoiareach.daemon.control;

import org.sequoiareach.decision.effect.Effect;

/** Performs effects. Called on the control thread, so it must hand off and return at once. */
@FunctionalInterface
public interface EffectHandler {

  /**
   * Performs an effect, or ignores it if it is meant for another handler.
   *
   * @param effect the effect
   */
  void handle(Effect effect);
}
