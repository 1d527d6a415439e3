/** Takes the connections of callers and reads one request at a time from each. */
package org.sequoiareach.daemon.front;
