package org.sequoiareach.daemon.front;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Creates allocators of receive buffers, whose size bounds what one read may leave undecoded. */
final class ReadSizes {

  private static final int MIN_BYTES = 64;
  private static final int INITIAL_BYTES = 1_024;

  private ReadSizes() {}

  static RecvByteBufAllocator upTo(int maxBytes) {
    return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, maxBytes);
  }
}
