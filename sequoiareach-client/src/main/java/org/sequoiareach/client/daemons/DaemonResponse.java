package org.sequoiareach.client.daemons;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The response of a daemon.
 *
 * @param daemon the daemon id in the settings
 * @param address the operator address of the daemon
 * @param answer the JSON response; empty if there is none
 * @param problem why there is no response; empty if there is one
 */
record DaemonResponse(String daemon, String address, Optional<JsonNode> answer, String problem) {

  /** Returns a field as text; {@code ?} if the field is absent, {@code -} without a response. */
  String field(String name) {
    return answer.map(node -> node.path(name).asText("?")).orElse("-");
  }
}
