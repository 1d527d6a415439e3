/**
 * Log4j context that buffers log events while the process starts, so that loading Log4j's
 * configuration does not delay the first requests.
 */
package org.sequoiareach.daemon.log;
