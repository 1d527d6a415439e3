/**
 * Tracks what excludes targets from new requests, or slows these down, for a while: availability
 * zones that operators have put into maintenance.
 */
package org.sequoiareach.decision.maintenance;
