package org.sequoiareach.load.report;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Percentiles of a measured duration in milliseconds; all 0 if nothing was measured.
 *
 * @param count the number of measured values
 * @param meanMs the mean
 * @param p50Ms the median
 * @param p95Ms the 95th percentile
 * @param p99Ms the 99th percentile
 * @param p999Ms the 99.9th percentile
 * @param maxMs the maximum
 */
public record Percentiles(
    long count,
    @JsonProperty("meanMs") double meanMs,
    @JsonProperty("p50Ms") double p50Ms,
    @JsonProperty("p95Ms") double p95Ms,
    @JsonProperty("p99Ms") double p99Ms,
    @JsonProperty("p999Ms") double p999Ms,
    @JsonProperty("maxMs") double maxMs) {}
