/**
 * Learns how long answers are, and predicts what a running answer has still to come.
 *
 * <p>Lengths are learnt as hazards: for each bucket of lengths, the share of the answers that
 * reached it and ended there. An answer that still runs, or was cancelled, counts in every bucket
 * that it outlived, so that long answers are not overlooked until they end.
 */
package org.sequoiareach.decision.length;
