package org.sequoiareach.daemon.control;

import org.sequoiareach.decision.effect.Effect;

/**
 * Performs effects of the reducer. Implementations are called on the control thread and must not
 * block.
 */
@FunctionalInterface
public interface EffectHandler {

  /**
   * Performs an effect, or ignores it if another handler is responsible for it.
   *
   * @param effect the effect
   */
  void handle(Effect effect);
}
