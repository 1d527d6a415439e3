/** Wires a daemon that routes requests by a routing sheet. */
package org.sequoiareach.daemon.gateway;
