package org.sequoiareach.daemon.front;

import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.memory.MemoryAccount;

/** What is reserved for the request of one connection. Confined to the event loop. */
final class RequestMemory {

  private final MemoryAccount account;
  private long headBytes;
  private long bodyBytes;
  private long unreadBytes;

  RequestMemory(MemoryAccount account) {
    this.account = account;
  }

  boolean tryReserveHead(long bytes) {
    if (!account.heads().tryReserve(headBytes, bytes)) {
      return false;
    }
    headBytes += bytes;
    return true;
  }

  boolean tryReserveBody(long bytes) {
    if (!account.bodies().tryReserve(bodyBytes, bytes)) {
      return false;
    }
    bodyBytes += bytes;
    return true;
  }

  /**
   * Accounts for ended responses that the client has yet to read.
   *
   * @param bytes all that is unread now
   * @return false if there is no memory for it; what was reserved before stays reserved
   */
  boolean tryHoldUnread(long bytes) {
    if (bytes <= unreadBytes) {
      account.responses().release(unreadBytes - bytes);
    } else if (!account.responses().tryReserve(unreadBytes, bytes - unreadBytes)) {
      return false;
    }
    unreadBytes = bytes;
    return true;
  }

  long bodyBytes() {
    return bodyBytes;
  }

  long heldBytes() {
    return headBytes + bodyBytes;
  }

  void releaseHead() {
    release(account.heads(), headBytes);
    headBytes = 0;
  }

  void releaseBody() {
    release(account.bodies(), bodyBytes);
    bodyBytes = 0;
  }

  private static void release(HeldBytes held, long bytes) {
    held.release(bytes);
  }
}
