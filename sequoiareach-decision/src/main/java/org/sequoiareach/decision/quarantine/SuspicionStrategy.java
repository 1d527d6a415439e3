package org.sequoiareach.decision.quarantine;

import java.util.Optional;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.quarantine.RequestTraits;

/** Strategy that judges which requests crash targets. Thread-safe. */
public interface SuspicionStrategy {

  /**
   * Finds the requests that are most likely to have caused crashes.
   *
   * @param evidence what is known
   * @return the traits of these requests; empty if the evidence does not suffice
   */
  Optional<Suspicion> findCulprit(Evidence evidence);

  /**
   * Returns whether a request whose target may have crashed is like one that another target was
   * about to answer as it crashed, and none like it was answered since.
   *
   * @param traits the traits of the request
   * @param targetId the identity of its target
   * @param evidence what is known
   * @return true if it may crash further targets
   */
  boolean isSuspect(RequestTraits traits, String targetId, Evidence evidence);

  /**
   * Returns whether requests that targets survived refute a quarantine.
   *
   * @param quarantine the quarantine
   * @param evidence what is known
   * @return true if it should be lifted
   */
  boolean isRefuted(Quarantine quarantine, Evidence evidence);
}
