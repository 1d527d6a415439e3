package org.sequoiareach.daemon.exchange;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;

/** Creates problem details (RFC 9457) for refused requests. */
final class ProblemDetails {

  private static final int STATUS_UNAVAILABLE = 503;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int STATUS_BAD_GATEWAY = 502;

  private ProblemDetails() {}

  /**
   * Returns the HTTP status of a refusal. Status 503 promises that the request has not run, so it
   * is used only in that case.
   */
  static int statusOf(Reason reason, Verdict verdict) {
    int status = reason.httpStatus();
    if (status < FIRST_SERVER_ERROR) {
      return status;
    }
    if (verdict == Verdict.NOT_RUN) {
      return STATUS_UNAVAILABLE;
    }
    return status == STATUS_UNAVAILABLE ? STATUS_BAD_GATEWAY : status;
  }

  static String toJson(Reason reason, Verdict verdict, String message) {
    ObjectNode problem = Json.mapper().createObjectNode();
    problem.put("type", "about:blank");
    problem.put("title", reason.label());
    problem.put("status", statusOf(reason, verdict));
    problem.put("detail", message);
    problem.put("verdict", verdict.label());
    return problem.toString();
  }
}
