package org.sequoiareach.decision.limit;

/**
 * The decision on a permit to send one request to a target. Immutable.
 *
 * @param granted whether the permit was granted
 * @param atMs when the request may be sent if granted, or when the caller should return if denied,
 *     in milliseconds
 */
public record PermitDecision(boolean granted, long atMs) {}
