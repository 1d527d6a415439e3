package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.MonoSink;

/** Waits for the end of a generation and emits the complete response. */
final class WholeResponseObserver implements GenerationObserver {

  private final Generation generation;
  private final CompletionResponseWriter writer;
  private final MonoSink<ObjectNode> sink;

  WholeResponseObserver(
      Generation generation, CompletionResponseWriter writer, MonoSink<ObjectNode> sink) {
    this.generation = generation;
    this.writer = writer;
    this.sink = sink;
  }

  @Override
  public boolean deliver() {
    if (!generation.state.ended()) {
      return false;
    }
    if (generation.state == GenerationState.FINISHED) {
      sink.success(writer.completion(generation));
    } else {
      disconnect();
    }
    return true;
  }

  @Override
  public void disconnect() {
    sink.error(
        new IllegalStateException(
            "generation " + generation.request.id() + " ended without a complete response"));
  }
}
