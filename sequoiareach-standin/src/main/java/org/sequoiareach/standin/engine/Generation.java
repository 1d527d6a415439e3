package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Holds the state of one generation. Not thread-safe. */
final class Generation {

  /** Orders generations by priority, then by arrival. */
  static final Comparator<Generation> SCHEDULING_ORDER =
      Comparator.<Generation>comparingInt(generation -> generation.request.priority())
          .thenComparingLong(generation -> generation.arrivalNumber);

  final GenerationRequest request;
  final long arrivalNumber;
  final double arrivedMs;
  final int promptTokens;
  final int answerTokens;
  final boolean cutByLimit;
  final boolean diesBeforeFirstToken;
  final List<String> sharedBlocks = new ArrayList<>();
  List<String> promptBlocks;
  GenerationState state = GenerationState.WAITING;
  int privateBlocks;
  int remainingPrefillTokens;
  int stepPrefillTokens;
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
      GenerationRequest request,
      long arrivalNumber,
      double arrivedMs,
      AnswerLength length,
      boolean diesBeforeFirstToken) {
    this.request = request;
    this.arrivalNumber = arrivalNumber;
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

  boolean isPrefilling() {
    return remainingPrefillTokens > 0;
  }

  int blockCount() {
    return privateBlocks + sharedBlocks.size();
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

  void end(GenerationState finalState, double nowMs) {
    state = finalState;
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
