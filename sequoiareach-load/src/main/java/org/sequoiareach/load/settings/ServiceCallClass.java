package org.sequoiareach.load.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Describes a class of plain service calls.
 *
 * @param name the name shown in reports
 * @param weight its share of the requests
 * @param organisations the organisations that send it; empty for all
 * @param callers the addresses it goes to; empty for the callers of the run
 * @param method the HTTP method
 * @param path the path; {@code {id}} is replaced by the request id
 * @param repeatable whether the call may run more than once; others carry an idempotency key
 * @param body the JSON body; empty for none
 * @param deadlineMs the time a caller waits, from the scheduled arrival
 */
public record ServiceCallClass(
    String name,
    double weight,
    List<String> organisations,
    List<String> callers,
    String method,
    String path,
    boolean repeatable,
    Optional<JsonNode> body,
    long deadlineMs)
    implements RequestClass {

  /** Checks the parts and fills in what was left out. */
  public ServiceCallClass {
    Check.hasText(name, "name");
    Check.hasText(method, "method");
    Check.hasText(path, "path");
    Check.inRange(deadlineMs, 1, Long.MAX_VALUE, "deadlineMs");
    organisations = organisations == null ? List.of() : List.copyOf(organisations);
    callers = callers == null ? List.of() : List.copyOf(callers);
  }
}
