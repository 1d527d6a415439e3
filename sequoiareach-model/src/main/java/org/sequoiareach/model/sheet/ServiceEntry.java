package org.sequoiareach.model.sheet;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Describes one plain service and its operations.
 *
 * @param name the name in the path after {@code /services/}
 * @param operations the operations that may be called; any other is refused
 */
public record ServiceEntry(String name, List<OperationEntry> operations) {

  /** Checks and copies the parts. */
  public ServiceEntry {
    Check.hasText(name, "name");
    operations = operations == null ? List.of() : List.copyOf(operations);
  }

  /**
   * Finds the first operation that covers a call.
   *
   * @param method the HTTP method
   * @param path the path below the service, starting with a slash
   * @return the operation, or empty if none covers the call
   */
  public Optional<OperationEntry> findOperation(String method, String path) {
    return operations.stream().filter(operation -> operation.covers(method, path)).findFirst();
  }
}
