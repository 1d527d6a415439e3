/** Defines the events that the reducer takes, one record each. */
package org.sequoiareach.decision.event;
