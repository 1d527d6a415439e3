/**
 * Detects requests that crash the targets that run them and keeps them away from further targets.
 *
 * <p>A crash alone does not tell which of the requests on the target caused it, nor whether any
 * did. {@link org.sequoiareach.decision.quarantine.CrashDetector} collects what was about to be
 * answered, a {@link org.sequoiareach.decision.quarantine.SuspicionStrategy} compares crashes with
 * each other and with the requests that were answered, and the {@link
 * org.sequoiareach.decision.quarantine.QuarantineRegistry} holds the decisions of all daemons.
 */
package org.sequoiareach.decision.quarantine;
