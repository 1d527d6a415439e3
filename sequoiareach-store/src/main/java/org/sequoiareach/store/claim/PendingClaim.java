package org.sequoiareach.store.claim;

import java.util.concurrent.CompletableFuture;

/** A claim whose outcome is not yet known. Confined to the event loop. */
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

  /** Returns the future that is completed with the answer to the author. */
  CompletableFuture<ClaimAnswer> answer() {
    return answer;
  }

  /** Returns the future that is completed once the stored state agrees with the answer. */
  CompletableFuture<Void> resolved() {
    return resolved;
  }

  boolean isAnswered() {
    return answer.isDone();
  }
}
