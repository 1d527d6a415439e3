/**
 * Combines membership, target ownership and sheet distribution into the reducer for communication
 * with other daemons.
 */
package org.sequoiareach.decision.group;
