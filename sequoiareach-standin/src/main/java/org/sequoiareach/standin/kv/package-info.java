/**
 * Simulates the platform's key-value service with the JSON mapping of the etcd v3 API.
 *
 * <p>Within this package, keys and values are strings with one char per byte, so that string order
 * equals byte order.
 */
package org.sequoiareach.standin.kv;
