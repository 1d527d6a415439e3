/** Latency metrics that are recorded in histograms. */
package org.sequoiareach.daemon.measure;
