/** JSON Lines representation of events and effects, used by golden files and test harnesses. */
package org.sequoiareach.decision.json;
