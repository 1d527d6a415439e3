package org.sequoiareach.daemon.dialect;

import java.util.Optional;

/**
 * Says what an answer tells of itself.
 *
 * @param requestId the request that it answers; empty where it does not say
 * @param rejected whether the target did not run the request
 * @param otherTarget whether another target than the one meant answers
 * @param encoded whether the body is not as the target made it
 * @param stream whether the body is a series of events
 * @param retryAfterMs the time after which the target may take the request; 0 where not said
 * @param idleUntilMs until when the connection may be used again; empty where it is not said
 */
public record AnswerHead(
    Optional<String> requestId,
    boolean rejected,
    boolean otherTarget,
    boolean encoded,
    boolean stream,
    long retryAfterMs,
    Optional<Long> idleUntilMs) {}
