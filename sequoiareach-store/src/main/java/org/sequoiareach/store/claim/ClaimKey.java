package org.sequoiareach.store.claim;

import org.sequoiareach.model.Check;

/**
 * Identifies a claim by the scope of an idempotency key and the key itself.
 *
 * @param organisation the organisation within which the idempotency key is unique
 * @param service the service within which the idempotency key is unique
 * @param idempotencyKey the idempotency key that the caller sent
 */
public record ClaimKey(String organisation, String service, String idempotencyKey) {

  /** Validates the components. */
  public ClaimKey {
    Check.hasText(organisation, "organisation");
    Check.hasText(service, "service");
    Check.hasText(idempotencyKey, "idempotencyKey");
  }
}
