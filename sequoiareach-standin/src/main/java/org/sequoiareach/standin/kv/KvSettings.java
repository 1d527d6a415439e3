package org.sequoiareach.standin.kv;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of the simulated key-value service.
 *
 * @param listen the address to listen on; port 0 selects a free port
 * @param writesPerSecond the maximum rate of writes, above which they are rejected; 0 for no limit
 * @param readsPerSecond the maximum rate of reads and new watches, above which they are rejected; 0
 *     for no limit
 * @param maxValueBytes the maximum size of a value in bytes; 0 for 1 MiB
 */
public record KvSettings(
    String listen, int writesPerSecond, int readsPerSecond, int maxValueBytes) {

  private static final int DEFAULT_MAX_VALUE_BYTES = 1 << 20;

  /** Validates the settings and applies defaults to absent ones. */
  public KvSettings {
    Check.hasText(listen, "listen");
    Check.inRange(writesPerSecond, 0, Integer.MAX_VALUE, "writesPerSecond");
    Check.inRange(readsPerSecond, 0, Integer.MAX_VALUE, "readsPerSecond");
    Check.inRange(maxValueBytes, 0, Integer.MAX_VALUE, "maxValueBytes");
    maxValueBytes = maxValueBytes == 0 ? DEFAULT_MAX_VALUE_BYTES : maxValueBytes;
  }

  /**
   * Creates settings without rate limits.
   *
   * @param listen the address to listen on
   */
  public KvSettings(String listen) {
    this(listen, 0, 0, 0);
  }
}
