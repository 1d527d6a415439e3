package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Keeps the state of one generation. Not thread-safe. */
final class Generation {

  /** Puts the generation first that is served first. */
  static final Comparator<Generation> SERVICE_ORDER =
      Comparator.<Generation>comparingInt(generation -> generation.request.priority())
          .thenComparingLong(generation -> generation.arrival);

  final CompletionRequest request;
  final long arrival;
  final double arrivedMs;
  final int promptTokens;
  final int answerTokens;
  final boolean cutByLimit;
  final boolean diesBeforeFirstToken;
  final List<String> sharedBlocks = new ArrayList<>();
  List<String> promptBlocks;
  GenerationState state = GenerationState.WAITING;
  int ownBlocks;
  int prefillLeft;
  int prefillOfStep;
  int tokens;
  int preemptions;
  int timesCreated = 1;
  int duplicatesRefused;
  double stallMs;
  double firstTokenMs = -1;
  double endedMs;
  private double stalledSinceMs = -1;
  private double lastTokenMs = -1;

  Generation(
      CompletionRequest request,
      long arrival,
      double arrivedMs,
      AnswerLength length,
      boolean diesBeforeFirstToken) {
    this.request = request;
    this.arrival = arrival;
    this.arrivedMs = arrivedMs;
    this.promptTokens = request.promptTokens();
    this.answerTokens = length.tokens();
    this.cutByLimit = length.cutByLimit();
    this.diesBeforeFirstToken = diesBeforeFirstToken;
    this.promptBlocks = List.of();
  }

  int contextTokens() {
    return promptTokens + tokens;
  }

  boolean prefilling() {
    return prefillLeft > 0;
  }

  int blocks() {
    return ownBlocks + sharedBlocks.size();
  }

  void addToken(double nowMs) {
    tokens++;
    if (firstTokenMs < 0) {
      firstTokenMs = nowMs - arrivedMs;
    }
    if (stalledSinceMs >= 0) {
      stallMs += nowMs - stalledSinceMs;
      stalledSinceMs = -1;
    }
    lastTokenMs = nowMs;
  }

  void preempt() {
    state = GenerationState.PREEMPTED;
    preemptions++;
    if (stalledSinceMs < 0) {
      stalledSinceMs = lastTokenMs;
    }
  }

  void end(GenerationState how, double nowMs) {
    state = how;
    endedMs = nowMs;
    promptBlocks = List.of();
  }

  String finishReason() {
    return cutByLimit ? "length" : "stop";
  }

  GenerationRecord toRecord() {
    return new GenerationRecord(
        request.id(),
        request.marker(),
        request.priority(),
        timesCreated,
        duplicatesRefused,
        promptTokens,
        tokens,
        answerTokens,
        preemptions,
        stallMs,
        firstTokenMs,
        state);
  }
}
