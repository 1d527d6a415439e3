/**
 * Sums up a run: counts, percentiles and stall time by class and organisation, as JSON and text.
 */
package org.sequoiareach.load.report;
