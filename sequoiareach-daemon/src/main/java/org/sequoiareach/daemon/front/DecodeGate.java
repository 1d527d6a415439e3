package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;

/** Decides whether a decoder may read on, before it creates the next object. */
@FunctionalInterface
interface DecodeGate {

  /**
   * Returns whether the next object may be decoded.
   *
   * @param input the bytes that are not decoded yet; the gate may skip them
   * @return false if the bytes have to wait or were skipped
   */
  boolean mayDecode(ByteBuf input);
}
