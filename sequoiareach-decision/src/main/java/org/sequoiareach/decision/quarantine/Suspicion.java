package org.sequoiareach.decision.quarantine;

import org.sequoiareach.model.quarantine.RequestTraits;

/**
 * The traits of requests that are suspected of crashing targets, with the evidence for it.
 *
 * @param traits the traits
 * @param crashes the moments at which targets crashed that were about to answer such a request
 * @param sinceMs the first of these moments, in milliseconds
 * @param soundRuns such requests that were answered since, as seen by this daemon
 * @param otherSoundRuns other requests for the same service that were answered since, as seen by
 *     this daemon
 * @param otherCrashedRuns other requests of this daemon that targets were about to answer as they
 *     crashed
 */
public record Suspicion(
    RequestTraits traits,
    int crashes,
    long sinceMs,
    long soundRuns,
    long otherSoundRuns,
    long otherCrashedRuns) {}
