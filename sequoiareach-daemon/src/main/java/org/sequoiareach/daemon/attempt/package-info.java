/**
 * Carries the answer of each request from its attempts to its caller, in order and from a single
 * generation, on the traffic threads.
 */
package org.sequoiareach.daemon.attempt;
