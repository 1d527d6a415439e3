package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Describes a request as received from its caller.
 *
 * @param requestId the caller's identifier of this attempt; a caller's own retry has another one
 * @param host the requested host, in lower case and without a port
 * @param path the path without the query
 * @param key the caller's API key
 * @param arrivedMs the time at which the request head was read, in milliseconds
 * @param deadlineMs the time at which the caller gives up, in milliseconds
 * @param generation the resource demand of a generation; empty for a plain request
 */
public record CallProfile(
    String requestId,
    String host,
    String path,
    Optional<String> key,
    long arrivedMs,
    long deadlineMs,
    Optional<GenerationDemand> generation) {

  /** Validates the components. */
  public CallProfile {
    Check.hasText(requestId, "requestId");
    Check.notNull(host, "host");
    Check.notNull(path, "path");
    Check.notNull(key, "key");
    Check.notNull(generation, "generation");
  }
}
