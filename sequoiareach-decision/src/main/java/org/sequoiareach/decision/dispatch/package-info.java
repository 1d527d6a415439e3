/** Decides on routed requests: where each goes, when it is tried again, refused or moved. */
package org.sequoiareach.decision.dispatch;
