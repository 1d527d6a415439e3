package org.sequoiareach.store.claim;

import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.request.Verdict;

/**
 * Registry of claims on idempotency keys, shared by all daemons. Implementations are thread-safe.
 */
public interface ClaimRegistry {

  /**
   * Claims a key for an author.
   *
   * <p>The future never fails. It is completed with {@link ClaimAnswer#UNAVAILABLE} if the claim is
   * not resolved before the deadline; a claim that takes effect after that is released in the
   * background.
   *
   * @param key the key
   * @param author the identity of the claiming request, unique across all daemons and over time
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the answer
   */
  CompletableFuture<ClaimAnswer> claim(ClaimKey key, String author, long deadlineMs);

  /**
   * Settles a claim: {@link Verdict#NOT_RUN} releases the key, {@link Verdict#RAN} marks it
   * finished, {@link Verdict#MAY_HAVE_RUN} leaves it held until it expires.
   *
   * <p>The change is retried in the background until it succeeds or the claim has expired. A claim
   * of another author is never changed.
   *
   * @param key the key
   * @param author the author of the claim
   * @param verdict whether the request ran
   * @return a future that is completed once the claim is settled
   */
  CompletableFuture<Void> settle(ClaimKey key, String author, Verdict verdict);
}
