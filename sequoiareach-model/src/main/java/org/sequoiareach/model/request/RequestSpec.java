package org.sequoiareach.model.request;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Properties of a request on which admission and routing decide. It does not contain the content.
 *
 * @param requestId the identity assigned by the daemon that received the request, unique across all
 *     daemons
 * @param organisation the identity of the organisation
 * @param kind the kind of request
 * @param resource the name of the model or of the plain service
 * @param callClass the class of the call within its organisation, by which answer lengths are
 *     estimated; empty if unknown
 * @param repeatable whether the request may be retried if its outcome is unknown
 * @param idempotencyKey the caller's idempotency key; empty if none was given
 * @param promptTokens the estimated number of prompt tokens; 0 for a service call
 * @param maxTokens the caller's limit on answer tokens; 0 for a service call
 * @param prefixDigests the digests of the prompt's prefixes, in order of increasing length
 * @param streamed whether the answer is streamed to the caller
 */
public record RequestSpec(
    String requestId,
    String organisation,
    RequestKind kind,
    String resource,
    String callClass,
    boolean repeatable,
    String idempotencyKey,
    int promptTokens,
    int maxTokens,
    List<Long> prefixDigests,
    boolean streamed) {

  /** Validates the components and copies the lists. */
  public RequestSpec {
    Check.hasText(requestId, "requestId");
    Check.hasText(organisation, "organisation");
    Check.notNull(kind, "kind");
    Check.hasText(resource, "resource");
    Check.notNull(callClass, "callClass");
    Check.notNull(idempotencyKey, "idempotencyKey");
    Check.inRange(promptTokens, 0, Integer.MAX_VALUE, "promptTokens");
    Check.inRange(maxTokens, 0, Integer.MAX_VALUE, "maxTokens");
    prefixDigests = prefixDigests == null ? List.of() : List.copyOf(prefixDigests);
  }
}
