package org.sequoiareach.daemon.front;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.BooleanSupplier;
import org.sequoiareach.daemon.memory.HeldBytes;

/**
 * Channel handler before the decoder that bounds what is decoded in one turn and what is read ahead
 * of a client's request in progress. Beyond that it stops reading the socket.
 *
 * <p>Some bytes are read ahead, because the end of a connection is seen only by reading it.
 */
final class InputRegulator extends ChannelInboundHandlerAdapter {

  /** A complete head of the largest usual size. */
  private static final int MAX_AHEAD_BYTES = 16 << 10;

  private final DecodeTurns turns;
  private final StrictRequestDecoder decoder;
  private final BooleanSupplier ready;
  private final HeldBytes memory;
  private final Runnable onNoMemory;
  private ChannelHandlerContext context;
  private int objectsLeft = DecodeTurns.OBJECTS_PER_TURN;
  private boolean feeding;
  private boolean waiting;
  private long reservedBytes;

  /**
   * Creates a handler for one connection.
   *
   * @param turns the turns of all connections of the event loop
   * @param decoder the decoder of the connection
   * @param ready whether the connection can take the next object
   * @param memory limits the bytes that all connections hold undecoded
   * @param onNoMemory closes the connection
   */
  InputRegulator(
      DecodeTurns turns,
      StrictRequestDecoder decoder,
      BooleanSupplier ready,
      HeldBytes memory,
      Runnable onNoMemory) {
    this.turns = turns;
    this.decoder = decoder;
    this.ready = ready;
    this.memory = memory;
    this.onNoMemory = onNoMemory;
  }

  /** Takes one object of the present turn, if there is one left. */
  boolean tryTakeObject() {
    if (objectsLeft == 0) {
      return false;
    }
    objectsLeft--;
    return true;
  }

  /** Decodes what is waiting, once the connection can take the next object. */
  void resume() {
    if (!feeding && !waiting && context.channel().isActive()) {
      feed(Unpooled.EMPTY_BUFFER);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    memory.release(reservedBytes);
    reservedBytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    feed(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!waiting) {
      objectsLeft = DecodeTurns.OBJECTS_PER_TURN;
    }
    // The decoder would ask for another read, even while reading is turned off.
    if (ctx.channel().config().isAutoRead()) {
      ctx.fireChannelReadComplete();
    }
  }

  private void takeTurn() {
    waiting = false;
    objectsLeft = DecodeTurns.OBJECTS_PER_TURN;
    resume();
  }

  private void feed(Object message) {
    feeding = true;
    try {
      context.fireChannelRead(message);
    } finally {
      feeding = false;
    }
    regulate();
  }

  private void regulate() {
    int undecodedBytes = decoder.undecodedBytes();
    long growth = undecodedBytes - reservedBytes;
    if (growth > 0 && !memory.tryReserve(reservedBytes, growth)) {
      onNoMemory.run();
      return;
    }
    if (growth < 0) {
      memory.release(-growth);
    }
    reservedBytes = undecodedBytes;
    boolean reading = undecodedBytes < MAX_AHEAD_BYTES;
    if (undecodedBytes > 0 && objectsLeft == 0 && ready.getAsBoolean()) {
      reading = false;
      if (!waiting) {
        waiting = true;
        turns.add(this::takeTurn);
      }
    }
    context.channel().config().setAutoRead(reading);
  }
}
