package org.sequoiareach.standin.vms;

import java.util.OptionalLong;

/**
 * Holds the fault switches of the simulated VM list.
 *
 * @param down whether connections are closed without a response
 * @param lagMs the lag in milliseconds that overrides the settings; empty for no override
 * @param frozen whether the list stays as it was when the switches were set
 */
public record VmListFaults(boolean down, OptionalLong lagMs, boolean frozen) {

  /** All faults switched off. */
  public static final VmListFaults NONE = new VmListFaults(false, OptionalLong.empty(), false);

  /** Applies defaults to absent switches. */
  public VmListFaults {
    lagMs = lagMs == null ? OptionalLong.empty() : lagMs;
  }
}
