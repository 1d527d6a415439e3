/**
 * Distributed claims on idempotency keys, stored in the key-value service, so that all daemons
 * together send a non-idempotent call at most once.
 */
package org.sequoiareach.store.claim;
