/** Sends the requests of a trace at their scheduled times and records what their callers see. */
package org.sequoiareach.load.run;
