/**
 * Learns how slow each engine is relative to what is expected at the load under which it was
 * observed.
 */
package org.sequoiareach.decision.speed;
