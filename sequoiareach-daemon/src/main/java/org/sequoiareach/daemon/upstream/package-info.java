/** Keeps connections to targets, and carries one request at a time on each. */
package org.sequoiareach.daemon.upstream;
