/** Relays TCP connections with faults of a link. */
package org.sequoiareach.standin.relay;
