/**
 * Prediction of answer lengths: learns how long answers are and predicts the remaining tokens of a
 * running answer.
 *
 * <p>Lengths are learnt as hazard rates, that is, per bucket of lengths, the fraction of the
 * answers reaching the bucket that end in it. Running and cancelled answers are censored
 * observations: they count in every bucket that they survived, so that long answers influence the
 * prediction before they end.
 */
package org.sequoiareach.decision.length;
