/** Reads the routing sheet and the targets from the store and watches them for changes. */
package org.sequoiareach.daemon.feed;
