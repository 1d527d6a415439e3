package org.sequoiareach.model.request;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds what a decision needs to know of a request; the request's content stays with the traffic.
 *
 * @param requestId the identity given by the daemon that took the request, unique over all daemons
 * @param organisation the identity of the organisation
 * @param kind the kind of work
 * @param resource the name of the model or of the plain service
 * @param callClass the kind of call within the organisation, by which answer lengths are told
 *     apart; empty where unknown
 * @param repeatable whether the request may be sent again after its outcome was lost
 * @param idempotencyKey the caller's idempotency key; empty where none was given
 * @param promptTokens the estimated tokens of the prompt; 0 for a service call
 * @param maxTokens the most tokens the caller allows for the answer; 0 for a service call
 * @param prefixDigests digests of the prompt's prefixes, from the shortest to the longest
 * @param streamed whether the caller sees tokens as they come
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

  /** Checks and copies the parts. */
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
