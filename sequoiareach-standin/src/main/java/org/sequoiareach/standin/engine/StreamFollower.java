package org.sequoiareach.standin.engine;

import reactor.core.publisher.FluxSink;

/** Writes the tokens of a generation as server-sent events, as fast as they are asked for. */
final class StreamFollower implements Follower {

  private final Generation generation;
  private final AnswerWriter writer;
  private final FluxSink<String> sink;
  private final int dropAfterTokens;
  private int sent;

  /**
   * Creates a follower.
   *
   * @param sent the id of the last event that the caller has
   * @param dropAfterTokens the token after which the connection is to be lost; 0 for none
   */
  StreamFollower(
      Generation generation,
      AnswerWriter writer,
      FluxSink<String> sink,
      int sent,
      int dropAfterTokens) {
    this.generation = generation;
    this.writer = writer;
    this.sink = sink;
    this.sent = sent;
    this.dropAfterTokens = dropAfterTokens;
  }

  @Override
  public boolean pump() {
    while (sent < generation.tokens && sink.requestedFromDownstream() > 0) {
      sink.next(writer.tokenEvent(generation, ++sent));
      if (sent == dropAfterTokens) {
        cut();
        return true;
      }
    }
    if (sink.isCancelled()) {
      return true;
    }
    boolean caughtUp = sent >= generation.tokens && generation.state.ended();
    return caughtUp && tryEnd();
  }

  @Override
  public void cut() {
    sink.error(new IllegalStateException("The connection is lost."));
  }

  private boolean tryEnd() {
    if (generation.state != GenerationState.FINISHED) {
      cut();
      return true;
    }
    if (sink.requestedFromDownstream() == 0) {
      return false;
    }
    String last = sent == generation.tokens ? writer.lastEvent(generation) : "";
    sink.next(last + AnswerWriter.DONE);
    sink.complete();
    return true;
  }
}
