/** Relays TCP connections and injects network faults. */
package org.sequoiareach.standin.relay;
