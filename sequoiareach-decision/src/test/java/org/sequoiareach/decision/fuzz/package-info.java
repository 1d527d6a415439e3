/**
 * Fault-injection tests of several reducers in a simulated cluster.
 *
 * <p>Simulated links delay and lose messages, and daemons and targets pause, stop and crash. A
 * checker compares what callers and targets observe with the guarantees of the system.
 */
package org.sequoiareach.decision.fuzz;
