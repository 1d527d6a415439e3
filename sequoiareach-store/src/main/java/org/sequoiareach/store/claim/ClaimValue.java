package org.sequoiareach.store.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.sequoiareach.model.json.Json;

/**
 * The stored value of a claim, serialized as JSON.
 *
 * @param author the identity of the request that claimed the key
 * @param attempt identifies the call to the registry that wrote the claim
 * @param finished whether the author's call has finished
 */
record ClaimValue(String author, String attempt, boolean finished) {

  static Optional<ClaimValue> parse(String text) {
    try {
      return Optional.ofNullable(Json.mapper().readValue(text, ClaimValue.class));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  ClaimValue asFinished() {
    return new ClaimValue(author, attempt, true);
  }

  String toText() {
    try {
      return Json.mapper().writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
