/**
 * Decides, for the owner of a target, which attempts start there now, which wait and which are
 * refused.
 */
package org.sequoiareach.decision.placement;
