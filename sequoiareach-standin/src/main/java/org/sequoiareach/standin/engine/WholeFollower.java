package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.MonoSink;

/** Waits for the end of a generation and answers with the whole of it. */
final class WholeFollower implements Follower {

  private final Generation generation;
  private final AnswerWriter writer;
  private final MonoSink<ObjectNode> sink;

  WholeFollower(Generation generation, AnswerWriter writer, MonoSink<ObjectNode> sink) {
    this.generation = generation;
    this.writer = writer;
    this.sink = sink;
  }

  @Override
  public boolean pump() {
    if (!generation.state.ended()) {
      return false;
    }
    if (generation.state == GenerationState.FINISHED) {
      sink.success(writer.whole(generation));
    } else {
      cut();
    }
    return true;
  }

  @Override
  public void cut() {
    sink.error(new IllegalStateException("The generation is lost."));
  }
}
