/** Generates reproducible request traces: arrival times, senders and lengths drawn from a seed. */
package org.sequoiareach.load.trace;
