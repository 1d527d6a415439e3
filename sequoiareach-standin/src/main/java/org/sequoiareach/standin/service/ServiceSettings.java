package org.sequoiareach.standin.service;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of a plain service stand-in.
 *
 * @param listen the address to listen on; port 0 takes a free port
 * @param name the name of the service
 * @param id the identity of this instance of the service; the name where absent
 * @param recordedCalls how many calls the record keeps in full; 0 or absent for 100,000
 */
public record ServiceSettings(String listen, String name, String id, int recordedCalls) {

  private static final int DEFAULT_RECORDED_CALLS = 100_000;

  /** Checks the parts and sets the absent ones. */
  public ServiceSettings {
    Check.hasText(listen, "listen");
    Check.hasText(name, "name");
    id = id == null ? name : id;
    Check.inRange(recordedCalls, 0, Integer.MAX_VALUE, "recordedCalls");
    recordedCalls = recordedCalls == 0 ? DEFAULT_RECORDED_CALLS : recordedCalls;
  }

  /**
   * Creates settings with the defaults for the rest.
   *
   * @param listen the address to listen on
   * @param name the name of the service
   */
  public ServiceSettings(String listen, String name) {
    this(listen, name, null, 0);
  }
}
