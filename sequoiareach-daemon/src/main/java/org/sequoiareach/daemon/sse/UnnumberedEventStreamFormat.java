package org.sequoiareach.daemon.sse;

import java.util.Set;

/** Streams whose events have no numbers, so that their order and number can't be checked. */
public final class UnnumberedEventStreamFormat extends AbstractEventStreamFormat {

  /** Creates a format whose events have the fields of server-sent events alone. */
  public UnnumberedEventStreamFormat() {
    super(Set.of());
  }

  @Override
  public boolean numbersEvents() {
    return false;
  }

  @Override
  BlockReading readEvent(EventBlock block, long lastEventId) {
    return block.has(DATA) ? BlockReading.next(0) : BlockReading.FILLER;
  }
}
