package org.sequoiareach.store.claim;

import org.sequoiareach.model.Check;

/**
 * Identifies a claim.
 *
 * @param organisation the organisation within which the idempotency key is unique
 * @param service the plain service within which it is unique
 * @param idempotencyKey the caller's key
 */
public record ClaimKey(String organisation, String service, String idempotencyKey) {

  /** Checks the parts. */
  public ClaimKey {
    Check.hasText(organisation, "organisation");
    Check.hasText(service, "service");
    Check.hasText(idempotencyKey, "idempotencyKey");
  }
}
