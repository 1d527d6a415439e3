package org.sequoiareach.daemon.operator;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.store.time.MonotonicClock;

/** The readiness of a daemon to accept requests, as queried by the load balancer. Thread-safe. */
public final class ReadinessFlag implements EffectHandler {

  private volatile Effect.SetReady state = new Effect.SetReady(false, "the daemon is starting");

  private final CountDownLatch firstReady = new CountDownLatch(1);

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.SetReady set) {
      state = set;
      if (set.ready()) {
        firstReady.countDown();
      }
    }
  }

  /**
   * Returns whether the daemon accepts requests.
   *
   * @return true if it does
   */
  public boolean isReady() {
    return state.ready();
  }

  /**
   * Blocks until the daemon accepts requests for the first time, or a deadline passes.
   *
   * @param deadlineMs the deadline, in milliseconds of the monotonic clock
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void awaitFirstReady(long deadlineMs) throws InterruptedException {
    firstReady.await(deadlineMs - MonotonicClock.nowMs(), TimeUnit.MILLISECONDS);
  }

  /**
   * Returns why the daemon is not ready.
   *
   * @return the reason; empty if it is ready
   */
  public String reason() {
    return state.why();
  }
}
