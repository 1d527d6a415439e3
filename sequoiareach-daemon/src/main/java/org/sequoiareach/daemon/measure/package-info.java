/** Latencies as histograms behind the metrics registry. */
package org.sequoiareach.daemon.measure;
