package org.sequoiareach.client.daemons;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Holds what one daemon answered.
 *
 * @param daemon the daemon's identity in the settings
 * @param address its operators' address
 * @param answer the JSON it answered; empty where it did not answer
 * @param problem why there is no answer; empty where there is one
 */
record DaemonAnswer(String daemon, String address, Optional<JsonNode> answer, String problem) {

  String field(String name) {
    return answer.map(node -> node.path(name).asText("?")).orElse("-");
  }
}
