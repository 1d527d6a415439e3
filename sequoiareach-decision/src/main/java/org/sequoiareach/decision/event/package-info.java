/**
 * The events that a reducer consumes, one record each.
 *
 * <p>Events are the only input of a reducer, including the passage of time.
 */
package org.sequoiareach.decision.event;
