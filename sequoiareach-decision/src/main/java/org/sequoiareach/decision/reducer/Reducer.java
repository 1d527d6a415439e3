package org.sequoiareach.decision.reducer;

import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;

/**
 * State machine that consumes events in order and returns the effects to perform.
 *
 * <p>Deterministic: equal sequences of events produce equal effects. Not thread-safe; all events
 * must be applied by one thread.
 */
public interface Reducer {

  /**
   * Applies one event.
   *
   * @param event the event, not older than any event applied before
   * @return the effects, in the order in which they must be performed
   */
  List<Effect> apply(Event event);
}
