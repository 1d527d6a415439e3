package org.sequoiareach.model.sheet;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Plain service and its operations.
 *
 * @param name the name in the path after {@code /services/}
 * @param operations the operations that may be called; all others are rejected
 */
public record ServiceEntry(String name, List<OperationEntry> operations) {

  /** Validates the components and copies the lists. */
  public ServiceEntry {
    Check.hasText(name, "name");
    operations = operations == null ? List.of() : List.copyOf(operations);
  }

  /**
   * Finds the first operation that matches a call.
   *
   * @param method the HTTP method
   * @param path the path below the service, starting with a slash
   * @return the operation, or empty if none matches
   */
  public Optional<OperationEntry> findOperation(String method, String path) {
    return operations.stream().filter(operation -> operation.matches(method, path)).findFirst();
  }
}
