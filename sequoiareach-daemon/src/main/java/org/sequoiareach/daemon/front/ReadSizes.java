package org.sequoiareach.daemon.front;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Creates allocators of receive buffers, whose size bounds what one read may leave undecoded. */
final class ReadSizes {

  private static final int MIN_BYTES = 64;
  private static final int INITIAL_BYTES = 1_024;

  /** A request within one or two reads, and the end of its connection. */
  private static final int READS_PER_TURN = 4;

  private ReadSizes() {}

  static RecvByteBufAllocator upTo(int maxBytes) {
    AdaptiveRecvByteBufAllocator allocator =
        new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, maxBytes);
    // Otherwise a read that does not fill its buffer ends the turn, and the end of a connection is
    // read only after what came before it was decided on and sent to a target.
    allocator.respectMaybeMoreData(false);
    allocator.maxMessagesPerRead(READS_PER_TURN);
    return allocator;
  }
}
