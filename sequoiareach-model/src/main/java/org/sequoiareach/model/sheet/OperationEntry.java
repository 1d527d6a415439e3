package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Describes one operation of a plain service.
 *
 * @param method the HTTP method, in capitals
 * @param path the path below the service, starting with a slash; a {@code *} segment covers any one
 *     segment
 * @param repeatable whether a call may be sent again after its outcome was lost
 */
public record OperationEntry(String method, String path, boolean repeatable) {

  /** Checks the parts. */
  public OperationEntry {
    Check.hasText(method, "method");
    Check.isTrue(
        path != null && path.startsWith("/"),
        "'path' must start with a slash but is '" + path + "'.");
  }

  /**
   * Tells whether this operation covers a call.
   *
   * @param callMethod the HTTP method of the call
   * @param callPath the path of the call below the service, without its query
   * @return true if method and every path segment agree
   */
  public boolean covers(String callMethod, String callPath) {
    if (!method.equals(callMethod)) {
      return false;
    }
    String[] wanted = path.split("/", -1);
    String[] given = callPath.split("/", -1);
    if (wanted.length != given.length) {
      return false;
    }
    for (int i = 0; i < wanted.length; i++) {
      if (!wanted[i].equals("*") && !wanted[i].equals(given[i])) {
        return false;
      }
    }
    return true;
  }
}
