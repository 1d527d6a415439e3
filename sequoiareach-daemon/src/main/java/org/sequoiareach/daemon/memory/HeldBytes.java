package org.sequoiareach.daemon.memory;

import io.netty.util.internal.PlatformDependent;
import org.sequoiareach.model.Check;

/**
 * Limits the bytes that a process holds at the same time for requests or responses of one kind, so
 * that many large ones do not use up its direct memory.
 *
 * <p>A quarter is kept for small ones, which are served while large ones are refused. Not
 * thread-safe; confined to the event loop.
 */
public final class HeldBytes {

  /** The length up to which a request or response counts as small, in bytes. */
  static final int SMALL_BYTES = 64 << 10;

  /** Divides the limit; one part is kept for small ones. */
  private static final int SMALL_SHARE_DIVISOR = 4;

  private final long limitBytes;
  private volatile long heldBytes;

  /**
   * Creates an account that holds nothing.
   *
   * @param limitBytes the limit in bytes
   */
  public HeldBytes(long limitBytes) {
    Check.isTrue(limitBytes > 0, "'limitBytes' must be positive but is " + limitBytes + ".");
    this.limitBytes = limitBytes;
  }

  /**
   * Creates an account of a part of the direct memory that this process may use.
   *
   * @param divisor divides the direct memory
   * @return the account
   */
  public static HeldBytes shareOfDirectMemory(int divisor) {
    return new HeldBytes(PlatformDependent.maxDirectMemory() / divisor);
  }

  /**
   * Reserves memory for a request or response.
   *
   * @param reservedBytes what is reserved for it already
   * @param bytes what is reserved in addition
   * @return whether the memory was reserved
   */
  public boolean tryReserve(long reservedBytes, long bytes) {
    boolean small = reservedBytes + bytes <= SMALL_BYTES;
    long availableBytes = small ? limitBytes : limitBytes - limitBytes / SMALL_SHARE_DIVISOR;
    if (heldBytes + bytes > availableBytes) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /**
   * Returns what is reserved. Any thread may call this.
   *
   * @return the number of bytes
   */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Releases reserved memory.
   *
   * @param bytes the number of bytes
   */
  public void release(long bytes) {
    heldBytes -= bytes;
  }
}
