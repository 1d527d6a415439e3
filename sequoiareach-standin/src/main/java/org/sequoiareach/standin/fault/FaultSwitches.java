package org.sequoiareach.standin.fault;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;

/**
 * Holds the fault switches of one stand-in. Thread-safe.
 *
 * <p>New switches replace the previous ones as a whole: a switch that is absent from a JSON object
 * is off.
 *
 * @param <F> the record type of the switches
 */
public final class FaultSwitches<F> {

  private final ObjectReader reader;
  private volatile F current;

  /**
   * Creates a holder with all faults switched off.
   *
   * @param type the record type of the switches
   * @param off the switches with all faults off
   */
  public FaultSwitches(Class<F> type, F off) {
    this.reader =
        Json.mapper()
            .readerFor(Check.notNull(type, "type"))
            .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    this.current = Check.notNull(off, "off");
  }

  /**
   * Returns the current switches.
   *
   * @return the switches
   */
  public F get() {
    return current;
  }

  /**
   * Replaces the switches.
   *
   * @param switches the new switches
   */
  public void set(F switches) {
    current = Check.notNull(switches, "switches");
  }

  /**
   * Parses switches from JSON without applying them.
   *
   * @param json a JSON object
   * @return the switches
   * @throws IllegalArgumentException if the text is not a JSON object or contains an unknown switch
   */
  public F parse(String json) {
    try {
      F parsed = reader.readValue(json);
      return Check.notNull(parsed, "faults");
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }
}
