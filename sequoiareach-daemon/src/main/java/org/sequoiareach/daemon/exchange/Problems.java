package org.sequoiareach.daemon.exchange;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;

/** Describes refusals as problem details (RFC 9457). */
final class Problems {

  private static final int UNAVAILABLE = 503;
  private static final int SERVER_ERRORS = 500;
  private static final int GATEWAY_ERROR = 502;

  private Problems() {}

  /** Returns the status: 503 promises that the request has not run, so it is kept for that. */
  static int statusOf(Reason reason, Verdict verdict) {
    int status = reason.httpStatus();
    if (status < SERVER_ERRORS) {
      return status;
    }
    if (verdict == Verdict.NOT_RUN) {
      return UNAVAILABLE;
    }
    return status == UNAVAILABLE ? GATEWAY_ERROR : status;
  }

  static String describe(Reason reason, Verdict verdict, String message) {
    ObjectNode problem = Json.mapper().createObjectNode();
    problem.put("type", "about:blank");
    problem.put("title", reason.label());
    problem.put("status", statusOf(reason, verdict));
    problem.put("detail", message);
    problem.put("verdict", verdict.label());
    return problem.toString();
  }
}
