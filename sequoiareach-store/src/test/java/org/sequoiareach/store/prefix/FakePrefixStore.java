package org.sequoiareach.store.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** {@link PrefixStore} whose calls stay pending until a test completes them. */
final class FakePrefixStore implements PrefixStore {

  private static final long TIMEOUT_SECONDS = 5;

  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

  record Call(String description, CompletableFuture<Object> answer) {}

  @Override
  public CompletableFuture<PrefixSnapshot> read(String prefix, long deadlineMs) {
    return enqueue("read").thenApply(PrefixSnapshot.class::cast);
  }

  @Override
  public CompletableFuture<PrefixChanges> awaitChanges(
      String prefix, long afterRevision, long waitUntilMs, long deadlineMs) {
    return enqueue("watch " + afterRevision).thenApply(PrefixChanges.class::cast);
  }

  private CompletableFuture<Object> enqueue(String description) {
    Call call = new Call(description, new CompletableFuture<>());
    calls.add(call);
    return call.answer;
  }

  CompletableFuture<Object> next(String description) throws InterruptedException {
    return nextCall(description).answer;
  }

  Call nextCall(String description) throws InterruptedException {
    Call call = calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(call).as("a call '%s'", description).isNotNull();
    assertThat(call.description).isEqualTo(description);
    return call;
  }

  /** Returns whether a call was made that the test has not received yet. */
  boolean hasCall() {
    return !calls.isEmpty();
  }
}
