package org.sequoiareach.store.vm;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.platform.VmEntry;

/** Reads the platform's list of VMs. Thread-safe. */
public interface VmList {

  /**
   * Reads the whole list.
   *
   * @param deadlineMs when to give up, in milliseconds of {@code System.nanoTime()}
   * @return all VMs; the future fails with {@link VmListException} where the list is not readable
   */
  CompletableFuture<List<VmEntry>> read(long deadlineMs);
}
