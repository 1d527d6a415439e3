package org.sequoiareach.model.platform;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * VM as returned by the platform's VM list. The list may be out of date.
 *
 * @param id the identity of the target or daemon on the VM
 * @param kind the kind of program on the VM
 * @param address the IP address and port, such as {@code 127.0.0.1:7101}; for a daemon its peer
 *     port
 * @param zone the availability zone
 * @param leaving whether the VM is about to stop
 * @param serves the names of the served models, or of the served plain service; empty for a daemon
 */
public record VmEntry(
    String id, VmKind kind, String address, String zone, boolean leaving, List<String> serves) {

  /** Validates the components and copies the lists. */
  public VmEntry {
    Check.hasText(id, "id");
    Check.notNull(kind, "kind");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    serves = serves == null ? List.of() : List.copyOf(serves);
  }
}
