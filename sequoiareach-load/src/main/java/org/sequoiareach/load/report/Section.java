package org.sequoiareach.load.report;

import java.util.Map;

/**
 * Sums up the requests of one class, one organisation or the whole run.
 *
 * @param requests the requests that ended
 * @param finished those whose whole answer was received
 * @param refused those that the system declined
 * @param failed those that ended in any other way
 * @param reasons how many were refused or failed, by reason
 * @param refusedWithoutRetryAfter refusals that did not say when to come back
 * @param tokens the tokens received
 * @param tokensPerSecond the tokens received by the length of the run
 * @param firstToken the times to the first token, from the scheduled arrival
 * @param tokenGap the times between tokens
 * @param answer the times to the end of finished answers, from the scheduled arrival
 * @param stallMs the sum of what gaps exceed the stall threshold by, of all answers
 * @param stallMsPerFinished the same of finished answers only, by their number
 * @param stalledAnswers answers with a gap beyond the threshold
 * @param preemptions how often engines preempted generations, by the engines' records
 * @param repeatedGenerations generations that ran beyond the first of a request
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
