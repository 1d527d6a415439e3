package org.sequoiareach.load.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Configures a request class of plain service calls.
 *
 * @param name the name shown in reports
 * @param weight the share of requests, relative to the other classes
 * @param organisations the names of the sending organisations; empty for all
 * @param callers the base addresses to send to; empty for the run's {@code callers}
 * @param method the HTTP method
 * @param path the path, in which {@code {id}} is replaced by the request id
 * @param repeatable whether the call may run more than once; other calls carry an idempotency key
 * @param body the JSON body; empty for none
 * @param deadlineMs the client timeout in milliseconds, from the scheduled arrival
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

  /** Validates the components and applies defaults. */
  public ServiceCallClass {
    Check.hasText(name, "name");
    Check.hasText(method, "method");
    Check.hasText(path, "path");
    Check.inRange(deadlineMs, 1, Long.MAX_VALUE, "deadlineMs");
    organisations = organisations == null ? List.of() : List.copyOf(organisations);
    callers = callers == null ? List.of() : List.copyOf(callers);
  }
}
