/** Writes events and effects as JSON lines, for golden files and for any harness. */
package org.sequoiareach.decision.json;
