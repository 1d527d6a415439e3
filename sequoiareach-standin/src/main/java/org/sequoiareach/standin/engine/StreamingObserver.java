package org.sequoiareach.standin.engine;

import reactor.core.publisher.FluxSink;

/** Streams the tokens of a generation as server-sent events, limited by downstream demand. */
final class StreamingObserver implements GenerationObserver {

  private final Generation generation;
  private final CompletionResponseWriter writer;
  private final FluxSink<String> sink;
  private final int dropAfterTokens;
  private int sent;

  /**
   * Creates an observer.
   *
   * @param sent the id of the last event that the caller received
   * @param dropAfterTokens the number of tokens after which the connection is closed; 0 for none
   */
  StreamingObserver(
      Generation generation,
      CompletionResponseWriter writer,
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
  public boolean deliver() {
    while (sent < generation.tokens && sink.requestedFromDownstream() > 0) {
      sink.next(writer.tokenEvent(generation, ++sent));
      if (sent == dropAfterTokens) {
        disconnect();
        return true;
      }
    }
    if (sink.isCancelled()) {
      return true;
    }
    boolean caughtUp = sent >= generation.tokens && generation.state.ended();
    return caughtUp && tryComplete();
  }

  @Override
  public void disconnect() {
    sink.error(
        new IllegalStateException(
            "stream of generation " + generation.request.id() + " was interrupted"));
  }

  private boolean tryComplete() {
    if (generation.state != GenerationState.FINISHED) {
      disconnect();
      return true;
    }
    if (sink.requestedFromDownstream() == 0) {
      return false;
    }
    String finalEvent = sent == generation.tokens ? writer.finalEvent(generation) : "";
    sink.next(finalEvent + CompletionResponseWriter.DONE_EVENT);
    sink.complete();
    return true;
  }
}
