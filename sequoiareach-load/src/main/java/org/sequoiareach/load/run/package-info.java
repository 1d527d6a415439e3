/**
 * Open-loop load generation: sends the requests of a trace at their scheduled times and records the
 * results that clients observe.
 */
package org.sequoiareach.load.run;
