/**
 * Provides stand-ins: simulated services that replace the platform and the targets in tests and
 * load runs.
 *
 * <p>{@link org.sequoiareach.standin.StandinMain} runs them as a process. Each stand-in serves a
 * record of what it did and accepts switches that inject faults.
 */
package org.sequoiareach.standin;
