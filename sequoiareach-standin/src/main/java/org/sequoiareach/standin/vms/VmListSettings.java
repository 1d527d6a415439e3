package org.sequoiareach.standin.vms;

import java.util.List;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.VmEntry;

/**
 * Holds the settings of the VM list stand-in.
 *
 * @param listen the address to listen on; port 0 takes a free port
 * @param lagMs how late the list shows a change, in milliseconds
 * @param vms the entries at the start, visible at once
 */
public record VmListSettings(String listen, long lagMs, List<VmEntry> vms) {

  private static final long MAX_LAG_MS = 3_600_000;

  /** Checks and copies the parts. */
  public VmListSettings {
    Check.hasText(listen, "listen");
    Check.inRange(lagMs, 0, MAX_LAG_MS, "lagMs");
    vms = vms == null ? List.of() : List.copyOf(vms);
  }
}
