package org.sequoiareach.load.report;

import java.util.Map;

/**
 * Statistics over the requests of one class, one organisation or the whole run.
 *
 * @param requests the number of requests that ended
 * @param finished the number of requests whose complete answer was received
 * @param refused the number of requests that the system rejected
 * @param failed the number of requests that ended in any other way
 * @param reasons the number of refused or failed requests by reason
 * @param refusedWithoutRetryAfter the number of refusals without a {@code Retry-After} header
 * @param tokens the number of tokens received
 * @param tokensPerSecond the tokens received per second of the measured period
 * @param firstToken the time to first token, from the scheduled arrival
 * @param tokenGap the gaps between tokens
 * @param answer the latency of finished requests, from the scheduled arrival
 * @param stallMs the stall time over all answers in milliseconds: the sum of the excess of each gap
 *     over the stall threshold
 * @param stallMsPerFinished the mean stall time per finished answer in milliseconds
 * @param stalledAnswers the number of answers with a gap above the threshold
 * @param preemptions the number of preemptions in the engines' records
 * @param repeatedGenerations the number of generations in the engines' records beyond the first of
 *     each request
 */
public record Section(
    int requests,
    int finished,
    int refused,
    int failed,
    Map<String, Integer> reasons,
    int refusedWithoutRetryAfter,
    long tokens,
    double tokensPerSecond,
    Percentiles firstToken,
    Percentiles tokenGap,
    Percentiles answer,
    double stallMs,
    double stallMsPerFinished,
    int stalledAnswers,
    long preemptions,
    long repeatedGenerations) {}
