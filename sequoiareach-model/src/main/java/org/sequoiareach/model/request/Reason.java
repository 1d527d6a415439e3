package org.sequoiareach.model.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Reason why a request was rejected, failed or ended early. Its label appears in errors and logs.
 */
public enum Reason {
  /** The request itself is malformed. */
  BAD_REQUEST(400),
  /** The caller's API key is missing or unknown. */
  UNKNOWN_KEY(401),
  /** The organisation may not use this model or service. */
  NOT_ALLOWED(403),
  /** The model, service, operation or stored answer does not exist for this organisation. */
  NOT_FOUND(404),
  /** A call that is not repeatable has no idempotency key. */
  IDEMPOTENCY_KEY_REQUIRED(400),
  /** The idempotency key is already claimed by an earlier call. */
  IDEMPOTENCY_KEY_CLAIMED(409),
  /** The body, a header or the stream exceeds a limit. */
  TOO_LARGE(413),
  /** The organisation has reached its limit of concurrent requests or its rate. */
  ORGANISATION_LIMIT(429),
  /** The organisation has spent its plan. */
  BUDGET_SPENT(429),
  /**
   * No portion of the organisation's plan can be reserved, as the key-value service is unavailable.
   */
  BUDGET_UNAVAILABLE(503),
  /** No target has free capacity within the time that the request can wait. */
  NO_CAPACITY(503),
  /** Requests with the same content crashed several targets. */
  QUARANTINED(503),
  /** No live target serves the model or service. */
  NO_TARGET(503),
  /** The daemon is starting, stopping, or has not confirmed its sheet. */
  NOT_READY(503),
  /** A call that is not repeatable cannot be claimed, as the key-value service is unavailable. */
  CLAIMS_UNAVAILABLE(503),
  /** The target failed or its connection was lost. */
  TARGET_FAILED(502),
  /** The daemon that owns the target failed or its connection was lost. */
  OWNER_FAILED(502),
  /** The deadline of the request has passed. */
  DEADLINE(504),
  /** The caller cancelled the request or closed its connection. */
  CANCELLED(499),
  /** The caller reads its stream too slowly. */
  SLOW_CALLER(499),
  /** An unexpected error in the daemon. */
  INTERNAL(500);

  private final int httpStatus;

  Reason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the HTTP status that reports this reason to a caller.
   *
   * @return the status code
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns the label used in errors, logs and JSON.
   *
   * @return the label, such as {@code no-capacity}
   */
  @JsonValue
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Resolves a label.
   *
   * @param label the label
   * @return the reason
   * @throws IllegalArgumentException if no reason has this label
   */
  @JsonCreator
  public static Reason fromLabel(String label) {
    return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
