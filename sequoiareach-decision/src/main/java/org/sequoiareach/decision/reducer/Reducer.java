package org.sequoiareach.decision.reducer;

import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;

/**
 * Takes events in order and answers each with what is to be done.
 *
 * <p>Not thread-safe: all events come from one thread. Equal sequences of events give equal
 * effects.
 */
public interface Reducer {

  /**
   * Applies one event.
   *
   * @param event the event; its time must not lie before that of an earlier event
   * @return the effects, in the order in which they are to be performed
   */
  List<Effect> apply(Event event);
}
