/** Server-sent events, as far as the clients of all targets need them. */
package org.sequoiareach.daemon.sse;
