package org.sequoiareach.store.claim;

import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.request.Verdict;

/** Claims and settles idempotency keys. Thread-safe. */
public interface ClaimRegistry {

  /**
   * Claims a key for an author.
   *
   * <p>The future never fails. {@link ClaimAnswer#UNAVAILABLE} is given when no answer could be had
   * before the deadline; the claim may then stand under the author's name and is given back in the
   * background.
   *
   * @param key the key
   * @param author the identity of the request that claims, unique over all daemons and time
   * @param deadlineMs when to give up, in milliseconds of {@code System.nanoTime()}
   * @return the answer
   */
  CompletableFuture<ClaimAnswer> claim(ClaimKey key, String author, long deadlineMs);

  /**
   * Settles a claim: {@link Verdict#NOT_RUN} gives the key back, {@link Verdict#RAN} marks it
   * finished, {@link Verdict#MAY_HAVE_RUN} leaves it held until it expires.
   *
   * <p>Tried again in the background until it succeeds or the claim has expired. A claim of another
   * author is never touched.
   *
   * @param key the key
   * @param author the author of the claim
   * @param verdict what became of the request
   * @return completed once settled
   */
  CompletableFuture<Void> settle(ClaimKey key, String author, Verdict verdict);
}
