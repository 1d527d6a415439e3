package org.sequoiareach.standin.fault;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;

/**
 * Holds the fault switches of one stand-in. Thread-safe.
 *
 * <p>A new set of switches replaces the former one as a whole: a switch that a JSON object leaves
 * out is off.
 *
 * @param <F> the record of switches
 */
public final class FaultSwitches<F> {

  private final ObjectReader reader;
  private volatile F current;

  /**
   * Creates the holder.
   *
   * @param type the record of switches
   * @param off the switches with every fault off
   */
  public FaultSwitches(Class<F> type, F off) {
    this.reader =
        Json.mapper()
            .readerFor(Check.notNull(type, "type"))
            .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    this.current = Check.notNull(off, "off");
  }

  /**
   * Returns the switches in force.
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
   * Reads switches from JSON without putting them in force.
   *
   * @param json a JSON object
   * @return the switches
   * @throws IllegalArgumentException if the text is no such object or names an unknown switch
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
