package org.sequoiareach.standin.service;

import java.util.Optional;

/**
 * Records one call that a plain service ran.
 *
 * @param execution the number of the run, from 1
 * @param method the HTTP method
 * @param uri the path and query
 * @param idempotencyKey the header {@code Idempotency-Key}
 * @param requestId the header {@code X-Request-Id}
 * @param body the body of the request as text
 */
public record ServiceCall(
    long execution,
    String method,
    String uri,
    Optional<String> idempotencyKey,
    Optional<String> requestId,
    String body) {}
