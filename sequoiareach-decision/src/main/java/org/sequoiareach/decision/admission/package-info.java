/**
 * Decides whether a generation is sent to an engine now, waits at the daemon, or is refused.
 *
 * <p>While a call waits at a daemon it can still be overtaken by a more urgent one, placed on any
 * engine, or truthfully refused as not run; none of this holds once it is queued at an engine.
 */
package org.sequoiareach.decision.admission;
