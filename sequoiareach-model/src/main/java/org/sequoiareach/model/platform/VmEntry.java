package org.sequoiareach.model.platform;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Describes one VM as the platform's list shows it. The list lags.
 *
 * @param id the identity of the target or daemon on the VM
 * @param kind what runs on it
 * @param address its IP number and port, such as {@code 127.0.0.1:7101}; for a daemon its peer port
 * @param zone its availability zone
 * @param leaving whether it is about to stop
 * @param serves the names of the models or of the plain service it serves; empty for a daemon
 */
public record VmEntry(
    String id, VmKind kind, String address, String zone, boolean leaving, List<String> serves) {

  /** Checks and copies the parts. */
  public VmEntry {
    Check.hasText(id, "id");
    Check.notNull(kind, "kind");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    serves = serves == null ? List.of() : List.copyOf(serves);
  }
}
