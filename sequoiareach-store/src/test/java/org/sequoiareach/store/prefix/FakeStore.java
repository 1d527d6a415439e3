package org.sequoiareach.store.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Keeps the calls that are made to it until a test answers them. */
final class FakeStore implements PrefixStore {

  private static final long WAIT_SECONDS = 5;

  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

  record Call(String what, CompletableFuture<Object> answer) {}

  @Override
  public CompletableFuture<PrefixSnapshot> read(String prefix, long deadlineMs) {
    return enqueue("read").thenApply(PrefixSnapshot.class::cast);
  }

  @Override
  public CompletableFuture<PrefixChanges> awaitChanges(
      String prefix, long afterRevision, long waitUntilMs, long deadlineMs) {
    return enqueue("watch " + afterRevision).thenApply(PrefixChanges.class::cast);
  }

  private CompletableFuture<Object> enqueue(String what) {
    Call call = new Call(what, new CompletableFuture<>());
    calls.add(call);
    return call.answer;
  }

  CompletableFuture<Object> next(String what) throws InterruptedException {
    return nextCall(what).answer;
  }

  Call nextCall(String what) throws InterruptedException {
    Call call = calls.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(call).as("a call '%s'", what).isNotNull();
    assertThat(call.what).isEqualTo(what);
    return call;
  }
}
