package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Describes a request as its caller sent it.
 *
 * @param requestId the caller's identity of this attempt of its own
 * @param host the host it names, in lower case and without a port
 * @param path its path without the query
 * @param key the caller's key
 * @param arrivedMs when its head was read
 * @param deadlineMs when the caller gives up
 * @param generation what a generation needs; empty for a plain request
 */
public record CallProfile(
    String requestId,
    String host,
    String path,
    Optional<String> key,
    long arrivedMs,
    long deadlineMs,
    Optional<GenerationDemand> generation) {

  /** Checks the parts. */
  public CallProfile {
    Check.hasText(requestId, "requestId");
    Check.notNull(host, "host");
    Check.notNull(path, "path");
    Check.notNull(key, "key");
    Check.notNull(generation, "generation");
  }
}
