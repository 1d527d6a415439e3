/** Reads the routing sheet and the targets from the store, and follows their changes. */
package org.sequoiareach.daemon.feed;
