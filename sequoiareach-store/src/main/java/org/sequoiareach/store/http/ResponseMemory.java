package org.sequoiareach.store.http;

import java.util.concurrent.atomic.AtomicLong;
import org.sequoiareach.model.Check;

/**
 * Limits the bytes of response bodies that calls hold at the same time, so that many long responses
 * do not use up the heap. A quarter is kept for short responses. Thread-safe.
 */
public final class ResponseMemory {

  /** The length up to which a response counts as short, in bytes. */
  static final int SHORT_BYTES = 16 << 10;

  /** Divides the limit; one part is kept for short responses. */
  private static final int SHORT_SHARE_DIVISOR = 4;

  private final long limitBytes;
  private final AtomicLong heldBytes = new AtomicLong();

  /**
   * Creates an account that holds nothing.
   *
   * @param limitBytes the limit in bytes
   */
  public ResponseMemory(long limitBytes) {
    Check.isTrue(limitBytes > 0, "'limitBytes' must be positive but is " + limitBytes + ".");
    this.limitBytes = limitBytes;
  }

  /** Returns an account without a limit, for calls to servers that are trusted. */
  static ResponseMemory unlimited() {
    return new ResponseMemory(Long.MAX_VALUE);
  }

  /**
   * Reserves memory for a part of a response.
   *
   * @param reservedBytes what is reserved for the response already
   * @param bytes what is reserved in addition
   * @return whether the memory was reserved
   */
  boolean tryReserve(long reservedBytes, long bytes) {
    boolean isShort = reservedBytes + bytes <= SHORT_BYTES;
    long availableBytes = isShort ? limitBytes : limitBytes - limitBytes / SHORT_SHARE_DIVISOR;
    if (heldBytes.addAndGet(bytes) <= availableBytes) {
      return true;
    }
    heldBytes.addAndGet(-bytes);
    return false;
  }

  void release(long bytes) {
    heldBytes.addAndGet(-bytes);
  }

  /**
   * Returns what is reserved.
   *
   * @return the number of bytes
   */
  public long heldBytes() {
    return heldBytes.get();
  }
}
