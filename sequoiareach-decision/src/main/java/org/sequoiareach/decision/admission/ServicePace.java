package org.sequoiareach.decision.admission;

/**
 * The observed pace of the engines of a service. Immutable.
 *
 * @param prefillTokensPerMs the prompt tokens that one engine prefills in a millisecond
 * @param runMs the mean time for which memory is held, in milliseconds
 */
public record ServicePace(double prefillTokensPerMs, double runMs) {}
