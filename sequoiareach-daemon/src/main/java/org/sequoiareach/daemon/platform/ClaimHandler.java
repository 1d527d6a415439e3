package org.sequoiareach.daemon.platform;

import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.ClaimResult;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.store.claim.ClaimKey;
import org.sequoiareach.store.claim.ClaimRegistry;
import org.sequoiareach.store.time.MonotonicClock;

/** Claims and settles idempotency keys on behalf of the reducer. */
public final class ClaimHandler implements EffectHandler {

  /** The maximum time that a caller waits for its claim before it counts as unavailable. */
  private static final long CLAIM_TIMEOUT_MS = 3_000;

  private final ClaimRegistry claims;
  private final EventSink events;

  /**
   * Creates a handler.
   *
   * @param claims the registry of idempotency keys
   * @param events receives events for the reducer
   */
  public ClaimHandler(ClaimRegistry claims, EventSink events) {
    this.claims = claims;
    this.events = events;
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.Claim claim) {
      requestClaim(claim);
    } else if (effect instanceof Effect.SettleClaim settle) {
      ClaimKey key = new ClaimKey(settle.organisation(), settle.service(), settle.idempotencyKey());
      claims.settle(key, settle.requestId(), settle.verdict());
    }
  }

  private void requestClaim(Effect.Claim claim) {
    ClaimKey key = new ClaimKey(claim.organisation(), claim.service(), claim.idempotencyKey());
    long deadlineMs = Math.min(claim.deadlineMs(), MonotonicClock.nowMs() + CLAIM_TIMEOUT_MS);
    claims
        .claim(key, claim.requestId(), deadlineMs)
        .thenAccept(
            answer ->
                events.post(
                    new RequestEvent.ClaimAnswered(
                        MonotonicClock.nowMs(),
                        claim.requestId(),
                        ClaimResult.valueOf(answer.name()))));
  }
}
