package org.sequoiareach.daemon;

import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.platform.claim.ClaimAnswer;
import org.sequoiareach.platform.claim.ClaimKey;
import org.sequoiareach.platform.claim.ClaimRegistry;

/** Refuses every claim, until the registry in the key-value service is wired. */
final class UnavailableClaims implements ClaimRegistry {

  @Override
  public CompletableFuture<ClaimAnswer> claim(ClaimKey key, String author, long deadlineMs) {
    return CompletableFuture.completedFuture(ClaimAnswer.UNAVAILABLE);
  }

  @Override
  public CompletableFuture<Void> settle(ClaimKey key, String author, Verdict verdict) {
    return CompletableFuture.completedFuture(null);
  }
}
