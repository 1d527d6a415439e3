package org.sequoiareach.daemon.sse;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.sequoiareach.model.Check;

/** Streams whose events are numbered by their ids: 1 in a new run, then one more each time. */
public final class NumberedEventStreamFormat implements EventStreamFormat {

  private static final String ID = "id";
  private static final String RECONNECTION_TIME = "retry";
  private static final Set<String> TEXT_FIELDS = Set.of(ID, EventBlock.DATA, "event");
  private static final Pattern EVENT_ID = Pattern.compile("[1-9][0-9]{0,17}");
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private final Set<String> numericFields;

  /**
   * Creates a format.
   *
   * @param numericFields the names of fields that an event may have besides those of server-sent
   *     events, with numbers as values
   */
  public NumberedEventStreamFormat(Set<String> numericFields) {
    this.numericFields = Set.copyOf(Check.notNull(numericFields, "numericFields"));
  }

  @Override
  public boolean numbersEvents() {
    return true;
  }

  @Override
  public BlockReading read(EventBlock block, long lastEventId) {
    Optional<StreamFault> fault = findFault(block);
    if (fault.isPresent()) {
      return BlockReading.invalid(fault.get());
    }
    boolean filler =
        block.fields().stream().allMatch(field -> field.name().equals(RECONNECTION_TIME));
    return filler ? BlockReading.FILLER : readEvent(block, lastEventId);
  }

  private static BlockReading readEvent(EventBlock block, long lastEventId) {
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
    if (!block.has(EventBlock.DATA)) {
      return BlockReading.invalid(StreamFault.MISSING_DATA);
    }
    long id = Long.parseLong(ids.get(0));
    if (id <= lastEventId) {
      return BlockReading.repeated(id);
    }
    return id == lastEventId + 1 ? BlockReading.next(id) : BlockReading.invalid(StreamFault.GAP);
  }

  private Optional<StreamFault> findFault(EventBlock block) {
    if (block.ambiguousLineEnd()) {
      return Optional.of(StreamFault.AMBIGUOUS_LINE_END);
    }
    return block.fields().stream().map(this::findFault).flatMap(Optional::stream).findFirst();
  }

  private Optional<StreamFault> findFault(EventField field) {
    if (TEXT_FIELDS.contains(field.name())) {
      return Optional.empty();
    }
    if (!field.name().equals(RECONNECTION_TIME) && !numericFields.contains(field.name())) {
      return Optional.of(StreamFault.UNKNOWN_FIELD);
    }
    return NUMBER.matcher(field.value()).matches()
        ? Optional.empty()
        : Optional.of(StreamFault.INVALID_VALUE);
  }
}
