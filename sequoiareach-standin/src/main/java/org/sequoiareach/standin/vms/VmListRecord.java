package org.sequoiareach.standin.vms;

import java.util.List;
import org.sequoiareach.model.platform.VmEntry;

/**
 * Records the requests and the state of the simulated VM list.
 *
 * @param reads the number of {@code GET /vms} requests served
 * @param changes the number of changes of the list
 * @param present the current list, without lag
 */
public record VmListRecord(long reads, long changes, List<VmEntry> present) {

  /** Copies the list. */
  public VmListRecord {
    present = List.copyOf(present);
  }
}
