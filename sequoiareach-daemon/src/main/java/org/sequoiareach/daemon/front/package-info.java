/**
 * The HTTP/1.1 server that callers connect to. It reads one request at a time from each connection
 * and enforces the limits on request size and duration.
 */
package org.sequoiareach.daemon.front;
