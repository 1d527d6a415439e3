package org.sequoiareach.standin.vms;

import java.util.List;
import org.sequoiareach.model.platform.VmEntry;

/**
 * Says what the VM list stand-in saw.
 *
 * @param reads calls of {@code GET /vms} answered
 * @param changes changes of the list
 * @param present the list without lag
 */
public record VmListRecord(long reads, long changes, List<VmEntry> present) {

  /** Copies the parts. */
  public VmListRecord {
    present = List.copyOf(present);
  }
}
