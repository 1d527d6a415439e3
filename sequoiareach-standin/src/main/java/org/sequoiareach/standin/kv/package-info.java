/**
 * Stands in for the platform's key-value service, in the JSON mapping of the etcd v3 API.
 *
 * <p>Inside this package keys and values are strings with one char for each byte, so that their
 * order is the order of the bytes.
 */
package org.sequoiareach.standin.kv;
