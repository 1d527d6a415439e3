package org.sequoiareach.store.claim;

/**
 * Describes a claim that stands in the key-value service under an author of this registry.
 *
 * @param storeKey the key in the key-value service
 * @param value the value as written
 * @param modRevision the revision of the write
 * @param leaseId the lease it is bound to
 * @param expiresAtMs when it may have lapsed with its lease
 */
record OwnClaim(
    String storeKey, ClaimValue value, long modRevision, long leaseId, long expiresAtMs) {}
