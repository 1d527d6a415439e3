package org.sequoiareach.store.claim;

import java.util.concurrent.CompletableFuture;

/** Is a claim that has not been resolved yet. Belongs to the control loop. */
final class PendingClaim {

  private final ClaimKey key;
  private final String storeKey;
  private final ClaimValue value;
  private final long deadlineMs;
  private final CompletableFuture<ClaimAnswer> answer = new CompletableFuture<>();
  private final CompletableFuture<Void> resolved = new CompletableFuture<>();

  PendingClaim(ClaimKey key, ClaimValue value, long deadlineMs) {
    this.key = key;
    this.storeKey = ClaimKeys.claim(key);
    this.value = value;
    this.deadlineMs = deadlineMs;
  }

  ClaimKey key() {
    return key;
  }

  String storeKey() {
    return storeKey;
  }

  ClaimValue value() {
    return value;
  }

  long deadlineMs() {
    return deadlineMs;
  }

  /** Is completed with the one answer that the author gets. */
  CompletableFuture<ClaimAnswer> answer() {
    return answer;
  }

  /** Is completed once the key-value service holds nothing of this claim beyond its answer. */
  CompletableFuture<Void> resolved() {
    return resolved;
  }

  boolean isAnswered() {
    return answer.isDone();
  }
}
