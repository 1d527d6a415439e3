/**
 * Client of the platform's key-value service, which provides the JSON mapping of the etcd v3 API.
 *
 * <p>The service is slow, rate-limited and sometimes unavailable, and the response to a write may
 * be lost after the write took effect. Callers that write must be able to recognise their own
 * writes when they read them back.
 */
package org.sequoiareach.store.kv;
