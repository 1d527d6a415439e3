/**
 * Admission control at the owner of a target: decides which attempts start, wait or are refused.
 *
 * <p>{@link org.sequoiareach.decision.placement.AdmissionStrategy} is the central interface. The
 * implementation for crowded engines, {@link
 * org.sequoiareach.decision.placement.ExpectedMemoryAdmission}, predicts the memory of an engine
 * from the lengths of earlier answers.
 */
package org.sequoiareach.decision.placement;
