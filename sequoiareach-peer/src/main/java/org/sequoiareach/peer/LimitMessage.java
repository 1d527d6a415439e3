package org.sequoiareach.peer;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Message by which daemons share the rate of requests that a target accepts from all of them.
 *
 * <p>Times are sent as durations, because the clocks of daemons differ.
 */
public interface LimitMessage extends PeerMessage {

  /**
   * What the sender knows of the rate limit of a target.
   *
   * @param targetId the identity of the target
   * @param incarnation the incarnation of the target
   * @param perSecond the rate in requests per second; empty if the target no longer states one
   * @param ageMs the time since an answer of the target showed this, in milliseconds
   */
  record KnownLimit(String targetId, long incarnation, OptionalDouble perSecond, long ageMs) {

    /** Validates the components. */
    public KnownLimit {
      Check.hasText(targetId, "targetId");
      Check.notNull(perSecond, "perSecond");
      perSecond.ifPresent(
          rate ->
              Check.isTrue(
                  rate >= 0 && Double.isFinite(rate),
                  "'perSecond' must be a finite number of at least 0 but is " + rate + "."));
      Check.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
    }
  }

  /**
   * Informs the receiver of limits that are in force or ended recently.
   *
   * @param limits the limits
   */
  record LimitsAnnouncement(List<KnownLimit> limits) implements LimitMessage {

    /** Copies the list. */
    public LimitsAnnouncement {
      limits = List.copyOf(limits);
    }
  }

  /**
   * Lends the sender's share of the rate of a target to the receiver.
   *
   * @param limit what the sender knows of the limit
   * @param daemons the highest number of daemons that the sender has seen
   */
  record ShareLoan(KnownLimit limit, int daemons) implements LimitMessage {

    /** Validates the components. */
    public ShareLoan {
      Check.notNull(limit, "limit");
      Check.inRange(daemons, 1, Integer.MAX_VALUE, "daemons");
    }
  }

  /**
   * Asks the receiver for a permit to send a request to a target.
   *
   * @param limit what the sender knows of the limit
   * @param callId the sender's identifier of the request
   * @param startWithinMs the time within which the permit must start, in milliseconds
   * @param coldMs how long the sender knows the target to stay cold, in milliseconds; empty if it
   *     is not cold
   */
  record PermitRequest(KnownLimit limit, String callId, long startWithinMs, OptionalLong coldMs)
      implements LimitMessage {

    /** Validates the components; an earlier version of a daemon does not send the last one. */
    public PermitRequest {
      Check.notNull(limit, "limit");
      Check.hasText(callId, "callId");
      Check.inRange(startWithinMs, 0, Long.MAX_VALUE, "startWithinMs");
      coldMs = coldMs == null ? OptionalLong.empty() : coldMs;
    }
  }

  /**
   * Response to a {@link PermitRequest}.
   *
   * @param callId the identifier of the request
   * @param targetId the identity of the target
   * @param granted whether the permit is granted
   * @param afterMs the time after which the request may be sent, or its caller should return, in
   *     milliseconds
   */
  record PermitResponse(String callId, String targetId, boolean granted, long afterMs)
      implements LimitMessage {

    /** Validates the components. */
    public PermitResponse {
      Check.hasText(callId, "callId");
      Check.hasText(targetId, "targetId");
      Check.inRange(afterMs, 0, Long.MAX_VALUE, "afterMs");
    }
  }

  /**
   * Informs the owner of a target of a request that was sent without a permit.
   *
   * @param limit what the sender knows of the limit
   */
  record SpentPermit(KnownLimit limit) implements LimitMessage {

    /** Validates the component. */
    public SpentPermit {
      Check.notNull(limit, "limit");
    }
  }
}
