/**
 * The interfaces between the gateway and the HTTP dialect of its callers and targets.
 * Implementations translate headers and control engines.
 */
package org.sequoiareach.daemon.dialect;
