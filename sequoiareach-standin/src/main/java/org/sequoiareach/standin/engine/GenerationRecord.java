package org.sequoiareach.standin.engine;

/**
 * Says what became of one generation.
 *
 * @param id its identity, {@code chatcmpl-R}
 * @param marker the text that its tokens carry
 * @param priority its priority; a lower number is served first
 * @param timesCreated how often it was created; more than 1 only where the engine died between
 * @param duplicatesRefused how often its identity was asked for again and refused
 * @param promptTokens the tokens of its prompt
 * @param tokens the tokens generated so far
 * @param answerTokens the tokens of its whole answer
 * @param preemptions how often it lost its memory
 * @param stallMs milliseconds from its last token before a preemption to its next token, in all
 * @param firstTokenMs milliseconds from its arrival to its first token; -1 before it
 * @param state where it is
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
