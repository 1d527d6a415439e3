package org.sequoiareach.standin.vms;

import java.util.List;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.VmEntry;

/**
 * Holds the settings of the simulated VM list.
 *
 * @param listen the address to listen on; port 0 selects a free port
 * @param lagMs the time in milliseconds after which a change becomes visible
 * @param vms the initial entries, which are visible at once
 */
public record VmListSettings(String listen, long lagMs, List<VmEntry> vms) {

  private static final long MAX_LAG_MS = 3_600_000;

  /** Validates and copies the settings. */
  public VmListSettings {
    Check.hasText(listen, "listen");
    Check.inRange(lagMs, 0, MAX_LAG_MS, "lagMs");
    vms = vms == null ? List.of() : List.copyOf(vms);
  }
}
