/** Limits of the memory that a daemon holds for callers and targets. */
package org.sequoiareach.daemon.memory;
