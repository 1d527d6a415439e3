/**
 * Daemon membership and failure detection, and the assignment of targets to owning daemons.
 *
 * <p>Membership follows the SWIM protocol with suspicion and incarnation numbers: daemons probe
 * each other and piggyback membership updates on the probe messages. Correctness does not depend on
 * it. While two daemons own the same target, or none does, only the quality of placement suffers.
 */
package org.sequoiareach.decision.membership;
