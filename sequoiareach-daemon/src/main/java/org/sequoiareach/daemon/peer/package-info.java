/** Connects this daemon with the others: attempts forwarded to owners, and their answers. */
package org.sequoiareach.daemon.peer;
