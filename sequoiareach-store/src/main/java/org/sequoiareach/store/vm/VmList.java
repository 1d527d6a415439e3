package org.sequoiareach.store.vm;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.platform.VmEntry;

/** Client of the platform's VM list. Implementations are thread-safe. */
public interface VmList {

  /**
   * Reads the complete list.
   *
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of all VMs; fails with {@link VmListException} if the list cannot be read
   */
  CompletableFuture<List<VmEntry>> read(long deadlineMs);
}
