package org.sequoiareach.daemon.platform;

import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.ClaimResult;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.store.claim.ClaimKey;
import org.sequoiareach.store.claim.ClaimRegistry;
import org.sequoiareach.store.time.MonotonicClock;

/** Claims and settles idempotency keys as the reducer asks. */
public final class ClaimGateway implements EffectHandler {

  /** The longest a caller waits for its claim before it is told that claims are unavailable. */
  private static final long CLAIM_TIMEOUT_MS = 3_000;

  private final ClaimRegistry claims;
  private final EventSink events;

  /**
   * Creates a gateway.
   *
   * @param claims the registry of claims
   * @param events the reducer's sink
   */
  public ClaimGateway(ClaimRegistry claims, EventSink events) {
    this.claims = claims;
    this.events = events;
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.Claim claim) {
      claim(claim);
    } else if (effect instanceof Effect.SettleClaim settle) {
      ClaimKey key = new ClaimKey(settle.organisation(), settle.service(), settle.idempotencyKey());
      claims.settle(key, settle.requestId(), settle.verdict());
    }
  }

  private void claim(Effect.Claim claim) {
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
