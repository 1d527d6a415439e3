/**
 * Talks to the platform's key-value service in the published JSON mapping of the etcd v3 API.
 *
 * <p>The service is slow, rate-limited and sometimes down, and the answer to a write may be lost
 * after the write took effect. Whoever writes must be able to recognise its own write when it reads
 * it back.
 */
package org.sequoiareach.store.kv;
