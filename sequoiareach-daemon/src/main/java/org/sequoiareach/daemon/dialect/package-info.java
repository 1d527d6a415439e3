/** Says how requests, answers and orders look on the wire of callers and targets. */
package org.sequoiareach.daemon.dialect;
