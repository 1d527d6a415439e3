/**
 * Runs the attempts at each request and merges their answers, so that the caller receives every
 * part once, in order and from a single generation.
 */
package org.sequoiareach.daemon.attempt;
