package org.sequoiareach.standin.engine;

/**
 * Records the progress of one generation.
 *
 * @param id the identifier, {@code chatcmpl-R} with R the id of the request
 * @param marker the text that every token carries
 * @param priority the priority; lower numbers are scheduled first
 * @param timesCreated the number of times it was created; above 1 only if the engine went down
 *     between
 * @param duplicatesRefused the number of rejected requests with the same identifier
 * @param promptTokens the number of prompt tokens
 * @param tokens the number of tokens generated so far
 * @param answerTokens the number of tokens of the complete output
 * @param preemptions the number of preemptions
 * @param stallMs the total time in milliseconds from the last token before a preemption to the next
 * @param firstTokenMs the time in milliseconds from arrival to the first token; -1 before that
 *     token
 * @param state the state
 */
public record GenerationRecord(
    String id,
    String marker,
    int priority,
    int timesCreated,
    int duplicatesRefused,
    int promptTokens,
    int tokens,
    int answerTokens,
    int preemptions,
    double stallMs,
    double firstTokenMs,
    GenerationState state) {}
