/**
 * Finds out which daemons live, and which of them owns a target.
 *
 * <p>Daemons probe each other and pass on what they find (the SWIM protocol with suspicion and
 * incarnations). No guarantee rests on it: two daemons that own one target at a time, or none that
 * does, cost quality only.
 */
package org.sequoiareach.decision.membership;
