package org.sequoiareach.daemon.sse;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Streams whose events are numbered by their ids: 1 in a new run, then one more each time. */
public final class NumberedEventStreamFormat extends AbstractEventStreamFormat {

  private static final Pattern EVENT_ID = Pattern.compile("[1-9][0-9]{0,17}");

  /**
   * Creates a format.
   *
   * @param numericFields the names of fields that an event may have besides those of server-sent
   *     events, with numbers as values
   */
  public NumberedEventStreamFormat(Set<String> numericFields) {
    super(numericFields);
  }

  @Override
  public boolean numbersEvents() {
    return true;
  }

  @Override
  BlockReading readEvent(EventBlock block, long lastEventId) {
    List<String> ids = block.valuesOf(ID);
    if (ids.isEmpty()) {
      return BlockReading.invalid(StreamFault.MISSING_ID);
    }
    if (ids.size() > 1) {
      return BlockReading.invalid(StreamFault.SEVERAL_IDS);
    }
    if (!EVENT_ID.matcher(ids.get(0)).matches()) {
      return BlockReading.invalid(StreamFault.INVALID_ID);
    }
    if (!block.has(DATA)) {
      return BlockReading.invalid(StreamFault.MISSING_DATA);
    }
    long id = Long.parseLong(ids.get(0));
    if (id <= lastEventId) {
      return BlockReading.repeated(id);
    }
    return id == lastEventId + 1 ? BlockReading.next(id) : BlockReading.invalid(StreamFault.GAP);
  }
}
