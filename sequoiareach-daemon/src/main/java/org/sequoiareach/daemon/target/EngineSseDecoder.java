package org.sequoiareach.daemon.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.EventBoundaryTracker;

/**
 * Decodes a byte stream into the blocks of an event stream. Used for one response; not thread-safe.
 */
final class EngineSseDecoder {

  /** The maximum length of a line; a longer line fails the stream. */
  static final int MAX_LINE_BYTES = 1 << 20;

  /** The bytes without a numbered event after which the stream fails. */
  static final int MAX_BYTES_WITHOUT_EVENT = 1 << 20;

  private final EventBoundaryTracker boundary = new EventBoundaryTracker();
  private final ByteArrayOutputStream block = new ByteArrayOutputStream();
  private int lineBytes;
  private long bytesWithoutEvent;

  /** Decodes bytes and returns the blocks that they complete. */
  List<EventBlock> decode(ByteBuf bytes) {
    List<EventBlock> blocks = new ArrayList<>();
    bytesWithoutEvent += bytes.readableBytes();
    while (bytes.isReadable()) {
      append(bytes.readByte());
      if (!boundary.isInsideEvent()) {
        blocks.add(EventBlock.parse(Unpooled.wrappedBuffer(block.toByteArray())));
        block.reset();
      }
    }
    if (blocks.stream().anyMatch(event -> !event.valuesOf("id").isEmpty())) {
      bytesWithoutEvent = 0;
    }
    if (bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
      throw new IllegalStateException(
          "the event stream brings more than "
              + MAX_BYTES_WITHOUT_EVENT
              + " bytes without a numbered event");
    }
    return blocks;
  }

  private void append(byte next) {
    lineBytes = next == '\n' ? 0 : lineBytes + 1;
    if (lineBytes > MAX_LINE_BYTES) {
      throw new IllegalStateException(
          "a line of the event stream exceeds " + MAX_LINE_BYTES + " bytes");
    }
    block.write(next);
    boundary.read(next);
  }
}
