/**
 * Claims idempotency keys in the key-value service, so that a call that may not be repeated is sent
 * at most once by all daemons together.
 */
package org.sequoiareach.store.claim;
