package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Operation of a plain service.
 *
 * @param method the HTTP method, in upper case
 * @param path the path relative to the service, starting with a slash; the segment {@code *}
 *     matches any single segment
 * @param repeatable whether a call may be retried if its outcome is unknown
 */
public record OperationEntry(String method, String path, boolean repeatable) {

  /** Validates the components. */
  public OperationEntry {
    Check.hasText(method, "method");
    Check.isTrue(
        path != null && path.startsWith("/"),
        "'path' is '" + path + "' and must start with a slash.");
  }

  /**
   * Checks whether a call matches this operation.
   *
   * @param callMethod the HTTP method of the call
   * @param callPath the path of the call relative to the service, without query string
   * @return true if the method and all path segments match
   */
  public boolean matches(String callMethod, String callPath) {
    if (!method.equals(callMethod)) {
      return false;
    }
    String[] pattern = path.split("/", -1);
    String[] segments = callPath.split("/", -1);
    if (pattern.length != segments.length) {
      return false;
    }
    for (int i = 0; i < pattern.length; i++) {
      if (!pattern[i].equals("*") && !pattern[i].equals(segments[i])) {
        return false;
      }
    }
    return true;
  }
}
