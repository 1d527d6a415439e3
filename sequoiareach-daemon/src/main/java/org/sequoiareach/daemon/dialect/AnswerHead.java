package org.sequoiareach.daemon.dialect;

import java.util.Optional;
import org.sequoiareach.model.route.StatedRate;

/**
 * The properties of an answer that its status and headers convey.
 *
 * @param requestId the request that it answers; empty if not stated
 * @param rejected whether the target rejected the request without running it
 * @param otherTarget whether a target other than the addressed one answered
 * @param impliesNotRun whether callers take its status to mean that the request has not run
 * @param encoded whether the body has a content encoding, so is not as the target produced it
 * @param stream whether the body is a stream of events
 * @param retryAfterMs the delay after which the target may accept the request, in milliseconds; 0
 *     if not stated
 * @param idleUntilMs the time until which the idle connection can be reused, in milliseconds of the
 *     monotonic clock; empty if not stated
 * @param acceptedRate the rate of requests that the target accepts from all daemons together
 * @param leaving whether the target announces that it is leaving
 */
public record AnswerHead(
    Optional<String> requestId,
    boolean rejected,
    boolean otherTarget,
    boolean impliesNotRun,
    boolean encoded,
    boolean stream,
    long retryAfterMs,
    Optional<Long> idleUntilMs,
    StatedRate acceptedRate,
    boolean leaving) {}
