package org.sequoiareach.daemon.sse;

import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.sequoiareach.model.Check;

/** Knows the fields of server-sent events (WHATWG HTML) and those that a protocol adds. */
abstract class AbstractEventStreamFormat implements EventStreamFormat {

  static final String ID = "id";
  static final String DATA = "data";

  private static final String RECONNECTION_TIME = "retry";
  private static final Set<String> TEXT_FIELDS = Set.of(ID, DATA, "event");
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private final Set<String> numericFields;

  /**
   * Creates a format.
   *
   * @param numericFields the names of further fields, whose values are numbers
   */
  AbstractEventStreamFormat(Set<String> numericFields) {
    this.numericFields = Set.copyOf(Check.notNull(numericFields, "numericFields"));
  }

  @Override
  public final BlockReading read(EventBlock block, long lastEventId) {
    Optional<StreamFault> fault = findFault(block);
    if (fault.isPresent()) {
      return BlockReading.invalid(fault.get());
    }
    boolean filler =
        block.fields().stream().allMatch(field -> field.name().equals(RECONNECTION_TIME));
    return filler ? BlockReading.FILLER : readEvent(block, lastEventId);
  }

  /** Reads a block of known fields, at least one of which belongs to an event. */
  abstract BlockReading readEvent(EventBlock block, long lastEventId);

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
