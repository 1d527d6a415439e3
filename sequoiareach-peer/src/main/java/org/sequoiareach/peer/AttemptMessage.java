package org.sequoiareach.peer;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.TargetHint;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Message about one attempt, exchanged between the daemon that received the caller's request and
 * the daemon that owns the target.
 */
public interface AttemptMessage extends PeerMessage {

  /**
   * Returns the identity of the attempt.
   *
   * @return the identity, unique across all daemons
   */
  String attemptId();

  /**
   * Requests that the owner of a target run an attempt on it.
   *
   * @param attemptId the identity of the attempt
   * @param targetId the identity of the target
   * @param spec the request
   * @param priority the organisation's priority
   * @param sheetVersion the version of the sheet under which the request was admitted
   * @param remainingMs the time until the request's deadline, in milliseconds, when the message is
   *     written
   * @param method the HTTP method
   * @param path the HTTP path with query string
   * @param headers the HTTP headers for the target
   * @param body the HTTP body; must not be modified afterwards
   */
  record OpenAttempt(
      String attemptId,
      String targetId,
      RequestSpec spec,
      int priority,
      long sheetVersion,
      long remainingMs,
      String method,
      String path,
      List<Header> headers,
      byte[] body)
      implements AttemptMessage {

    /** Validates the components and copies the lists. */
    public OpenAttempt {
      Check.hasText(attemptId, "attemptId");
      Check.hasText(targetId, "targetId");
      Check.notNull(spec, "spec");
      Check.inRange(sheetVersion, 0, Long.MAX_VALUE, "sheetVersion");
      Check.inRange(remainingMs, 1, Integer.MAX_VALUE, "remainingMs");
      Check.hasText(method, "method");
      Check.hasText(path, "path");
      headers = headers == null ? List.of() : List.copyOf(headers);
      body = body == null ? new byte[0] : body;
    }

    /**
     * Computes the deadline on the clock of the daemon that received this message.
     *
     * @param receivedMs the time of receipt, in milliseconds of that daemon's monotonic clock
     * @return the deadline on the same clock
     */
    public long deadlineMs(long receivedMs) {
      return receivedMs + remainingMs;
    }

    /**
     * Copies this message with another remaining time.
     *
     * @param otherMs the time until the deadline, in milliseconds
     * @return the copy
     */
    OpenAttempt withRemainingMs(long otherMs) {
      return new OpenAttempt(
          attemptId, targetId, spec, priority, sheetVersion, otherMs, method, path, headers, body);
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof OpenAttempt that
          && Arrays.equals(body, that.body)
          && fields().equals(that.fields());
    }

    @Override
    public int hashCode() {
      return Objects.hash(fields(), Arrays.hashCode(body));
    }

    private List<Object> fields() {
      return List.of(
          attemptId, targetId, spec, priority, sheetVersion, remainingMs, method, path, headers);
    }
  }

  /**
   * Reports that the target has started its answer.
   *
   * @param attemptId the identity of the attempt
   * @param targetId the identity of the target that runs the attempt
   * @param status the HTTP status code
   * @param headers the HTTP headers of the answer
   * @param hint the owner's view of the target
   */
  record AttemptHead(
      String attemptId,
      String targetId,
      int status,
      List<Header> headers,
      Optional<TargetHint> hint)
      implements AttemptMessage {

    /** Validates the components and copies the lists. */
    public AttemptHead {
      Check.hasText(attemptId, "attemptId");
      Check.hasText(targetId, "targetId");
      Check.inRange(status, 100, 599, "status");
      headers = headers == null ? List.of() : List.copyOf(headers);
      Check.notNull(hint, "hint");
    }
  }

  /**
   * Carries a part of the answer and consumes one unit of credit per payload byte.
   *
   * @param attemptId the identity of the attempt
   * @param sequence the position of this part in the answer, starting at 1
   * @param payload the bytes as sent by the target; must not be modified afterwards
   * @param tokens the number of tokens in the payload; 0 for a service call
   */
  record AttemptData(String attemptId, long sequence, byte[] payload, int tokens)
      implements AttemptMessage {

    /** Validates the components. */
    public AttemptData {
      Check.hasText(attemptId, "attemptId");
      Check.inRange(sequence, 1, Long.MAX_VALUE, "sequence");
      payload = payload == null ? new byte[0] : payload;
      Check.inRange(tokens, 0, Integer.MAX_VALUE, "tokens");
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof AttemptData that
          && attemptId.equals(that.attemptId)
          && sequence == that.sequence
          && tokens == that.tokens
          && Arrays.equals(payload, that.payload);
    }

    @Override
    public int hashCode() {
      return Objects.hash(attemptId, sequence, tokens, Arrays.hashCode(payload));
    }
  }

  /**
   * Ends an attempt that the owner has started on the target. It follows all parts of the answer.
   *
   * @param attemptId the identity of the attempt
   * @param outcome the outcome of the attempt
   * @param hint the owner's view of the target
   */
  record AttemptEnd(String attemptId, Outcome outcome, Optional<TargetHint> hint)
      implements AttemptMessage {

    /** Validates the components. */
    public AttemptEnd {
      Check.hasText(attemptId, "attemptId");
      Check.notNull(outcome, "outcome");
      Check.notNull(hint, "hint");
    }
  }

  /**
   * Reports that the attempt has not run and will not run.
   *
   * @param attemptId the identity of the attempt
   * @param reason the reason for the rejection
   * @param message a description of the rejection
   * @param retryAfterMs the time after which a retry is useful, in milliseconds; 0 if none is
   * @param hint the owner's view of the target
   */
  record AttemptRejected(
      String attemptId, Reason reason, String message, long retryAfterMs, Optional<TargetHint> hint)
      implements AttemptMessage {

    /** Validates the components. */
    public AttemptRejected {
      Check.hasText(attemptId, "attemptId");
      Check.notNull(reason, "reason");
      Check.notNull(message, "message");
      Check.inRange(retryAfterMs, 0, Long.MAX_VALUE, "retryAfterMs");
      Check.notNull(hint, "hint");
    }
  }

  /**
   * Requests that the owner cancel an attempt.
   *
   * @param attemptId the identity of the attempt
   * @param keepGeneration whether a running generation continues, so that it can be resumed
   *     directly
   */
  record CancelAttempt(String attemptId, boolean keepGeneration) implements AttemptMessage {

    /** Validates the components. */
    public CancelAttempt {
      Check.hasText(attemptId, "attemptId");
    }
  }

  /**
   * Grants the owner credit to send more of an answer. It is handled by the transport and not
   * passed to the {@link PeerListener}.
   *
   * @param attemptId the identity of the attempt
   * @param bytes the number of payload bytes that this daemon has passed on since the last grant
   */
  record GrantCredit(String attemptId, int bytes) implements AttemptMessage {

    /** Validates the components. */
    public GrantCredit {
      Check.hasText(attemptId, "attemptId");
      Check.inRange(bytes, 1, Integer.MAX_VALUE, "bytes");
    }
  }
}
