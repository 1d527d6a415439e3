/**
 * Pooled HTTP/1.1 client connections to targets, each of which carries one request at a time.
 *
 * <p>{@link org.sequoiareach.daemon.upstream.TargetConnectionManager} is the entry point.
 */
package org.sequoiareach.daemon.upstream;
