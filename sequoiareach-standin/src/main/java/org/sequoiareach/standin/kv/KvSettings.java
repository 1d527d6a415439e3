package org.sequoiareach.standin.kv;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of the key-value stand-in.
 *
 * @param listen the address to listen on; port 0 takes a free port
 * @param writesPerSecond the rate of writes beyond which calls are refused; 0 for no limit
 * @param readsPerSecond the rate of reads and new watches beyond which calls are refused; 0 for no
 *     limit
 * @param maxValueBytes the greatest size of a value; 0 for one mebibyte
 */
public record KvSettings(
    String listen, int writesPerSecond, int readsPerSecond, int maxValueBytes) {

  private static final int DEFAULT_MAX_VALUE_BYTES = 1 << 20;

  /** Checks the parts and sets the absent ones. */
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
