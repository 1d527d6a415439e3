package org.sequoiareach.standin.service;

import java.util.Optional;

/**
 * Records one call that a simulated service executed.
 *
 * @param execution the sequence number of the execution, from 1
 * @param method the HTTP method
 * @param uri the path and query
 * @param idempotencyKey the value of the header {@code Idempotency-Key}
 * @param requestId the value of the header {@code X-Request-Id}
 * @param body the request body as text
 */
public record ServiceCall(
    long execution,
    String method,
    String uri,
    Optional<String> idempotencyKey,
    Optional<String> requestId,
    String body) {}
