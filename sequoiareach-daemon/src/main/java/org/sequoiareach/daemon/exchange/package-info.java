/** Carries each request to its target and the answer back. */
package org.sequoiareach.daemon.exchange;
