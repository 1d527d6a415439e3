/**
 * Takes every routing, placement and control decision of a daemon in one reducer.
 *
 * <p>Nothing in this module does input or output, starts threads, reads a clock, draws random
 * numbers or writes logs. Time and seeds arrive in events; what is to be done leaves as effects.
 * Any harness can drive it: feed events, read effects.
 */
package org.sequoiareach.decision;
