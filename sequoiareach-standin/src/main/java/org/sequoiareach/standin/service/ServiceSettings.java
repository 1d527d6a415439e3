package org.sequoiareach.standin.service;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of a simulated service.
 *
 * @param listen the address to listen on; port 0 selects a free port
 * @param name the name of the service
 * @param id the identifier of this instance; absent for the name of the service
 * @param recordedCalls the maximum number of calls kept in the record; 0 or absent for 100,000
 */
public record ServiceSettings(String listen, String name, String id, int recordedCalls) {

  private static final int DEFAULT_RECORDED_CALLS = 100_000;

  /** Validates the settings and applies defaults to absent ones. */
  public ServiceSettings {
    Check.hasText(listen, "listen");
    Check.hasText(name, "name");
    id = id == null ? name : id;
    Check.inRange(recordedCalls, 0, Integer.MAX_VALUE, "recordedCalls");
    recordedCalls = recordedCalls == 0 ? DEFAULT_RECORDED_CALLS : recordedCalls;
  }

  /**
   * Creates settings with defaults for the identifier and the number of recorded calls.
   *
   * @param listen the address to listen on
   * @param name the name of the service
   */
  public ServiceSettings(String listen, String name) {
    this(listen, name, null, 0);
  }
}
