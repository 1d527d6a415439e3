/**
 * The effects that a reducer returns, one record each.
 *
 * <p>Reducers perform no I/O themselves. The host, which is the daemon or a test, performs the
 * effects in the order returned and reports their outcomes as events.
 */
package org.sequoiareach.decision.effect;
