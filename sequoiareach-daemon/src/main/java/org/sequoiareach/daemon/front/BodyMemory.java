package org.sequoiareach.daemon.front;

import io.netty.util.internal.PlatformDependent;
import org.sequoiareach.model.Check;

/**
 * Limits the bytes of request bodies that a server holds at the same time, so that many large
 * bodies at once do not use up the direct memory of the process.
 *
 * <p>A quarter is kept for small bodies, which are served while large ones are refused. Not
 * thread-safe; confined to the event loop.
 */
final class BodyMemory {

  /** The length up to which a body counts as small, in bytes. */
  static final int SMALL_BODY_BYTES = 64 << 10;

  /** Divides the direct memory; the rest is for reads, responses and what targets send. */
  private static final int DIRECT_MEMORY_DIVISOR = 3;

  /** Divides the limit; one part is kept for small bodies. */
  private static final int SMALL_SHARE_DIVISOR = 4;

  private final long limitBytes;
  private long heldBytes;

  BodyMemory(long limitBytes) {
    Check.isTrue(limitBytes > 0, "'limitBytes' must be positive but is " + limitBytes + ".");
    this.limitBytes = limitBytes;
  }

  /** Creates the account of a process, according to the direct memory that it may use. */
  static BodyMemory ofProcess() {
    return new BodyMemory(PlatformDependent.maxDirectMemory() / DIRECT_MEMORY_DIVISOR);
  }

  /**
   * Reserves memory for a body.
   *
   * @param reservedBytes what is reserved for the body already
   * @param bytes what is reserved in addition
   * @return whether the memory was reserved
   */
  boolean tryReserve(long reservedBytes, long bytes) {
    boolean small = reservedBytes + bytes <= SMALL_BODY_BYTES;
    long availableBytes = small ? limitBytes : limitBytes - limitBytes / SMALL_SHARE_DIVISOR;
    if (heldBytes + bytes > availableBytes) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  void release(long bytes) {
    heldBytes -= bytes;
  }
}
