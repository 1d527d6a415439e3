package org.sequoiareach.store.claim;

/**
 * A claim that the key-value service stores for an author of this registry.
 *
 * @param storeKey the key under which the claim is stored
 * @param value the stored value
 * @param modRevision the revision at which the claim was written
 * @param leaseId the lease that the claim is bound to
 * @param expiresAtMs the earliest time at which the claim can expire with its lease, in
 *     milliseconds of the monotonic clock
 */
record HeldClaim(
    String storeKey, ClaimValue value, long modRevision, long leaseId, long expiresAtMs) {}
