package org.sequoiareach.standin.vms;

import java.util.OptionalLong;

/**
 * Holds the fault switches of the VM list stand-in.
 *
 * @param down whether calls lose their connection without an answer
 * @param lagMs a lag in milliseconds in place of the one of the settings; empty for that one
 * @param frozen whether the list stays as it was when this switch was turned on
 */
public record VmListFaults(boolean down, OptionalLong lagMs, boolean frozen) {

  /** The switches with every fault off. */
  public static final VmListFaults NONE = new VmListFaults(false, OptionalLong.empty(), false);

  /** Sets the absent parts. */
  public VmListFaults {
    lagMs = lagMs == null ? OptionalLong.empty() : lagMs;
  }
}
