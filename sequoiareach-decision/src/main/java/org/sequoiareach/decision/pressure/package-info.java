/** Decides whom a process refuses or closes when what it holds for its clients reaches a limit. */
package org.sequoiareach.decision.pressure;
