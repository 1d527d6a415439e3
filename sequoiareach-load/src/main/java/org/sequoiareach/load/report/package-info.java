/**
 * Run reports: counts, percentiles and stall times by request class and organisation, as JSON and
 * text.
 */
package org.sequoiareach.load.report;
