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

/** Is a message about one attempt that the daemon of the caller runs through a target's owner. */
public interface AttemptMessage extends PeerMessage {

  /**
   * Returns the attempt.
   *
   * @return its identity, unique over all daemons
   */
  String attemptId();

  /**
   * Asks the owner of a target to place an attempt there and to run it.
   *
   * @param attemptId the attempt
   * @param targetId the target
   * @param spec the request
   * @param priority the organisation's priority
   * @param sheetVersion the version of the sheet the request was admitted under
   * @param remainingMs the time left until the request's deadline when the message is written
   * @param method the HTTP method
   * @param path the HTTP path with its query
   * @param headers the HTTP headers for the target
   * @param body the HTTP body; callers must not change it afterwards
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

    /** Checks and copies the parts. */
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
     * @param receivedMs when it was received, in milliseconds of that daemon's monotonic clock
     * @return the deadline on the same clock
     */
    public long deadlineMs(long receivedMs) {
      return receivedMs + remainingMs;
    }

    /**
     * Copies this message with another remaining time.
     *
     * @param otherMs the time left until the deadline
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
   * Tells that the target has begun to answer.
   *
   * @param attemptId the attempt
   * @param targetId the target that runs it
   * @param status the HTTP status
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

    /** Checks and copies the parts. */
    public AttemptHead {
      Check.hasText(attemptId, "attemptId");
      Check.hasText(targetId, "targetId");
      Check.inRange(status, 100, 599, "status");
      headers = headers == null ? List.of() : List.copyOf(headers);
      Check.notNull(hint, "hint");
    }
  }

  /**
   * Carries a part of the answer. It costs as much credit as its payload has bytes.
   *
   * @param attemptId the attempt
   * @param sequence the position of this part in the answer, from 1
   * @param payload the bytes as the target sent them; callers must not change them afterwards
   * @param tokens the tokens in the payload; 0 for a service call
   */
  record AttemptData(String attemptId, long sequence, byte[] payload, int tokens)
      implements AttemptMessage {

    /** Checks the parts. */
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
   * Ends an attempt that was placed. It follows all parts of the answer.
   *
   * @param attemptId the attempt
   * @param outcome how it ended
   * @param hint the owner's view of the target
   */
  record AttemptEnd(String attemptId, Outcome outcome, Optional<TargetHint> hint)
      implements AttemptMessage {

    /** Checks the parts. */
    public AttemptEnd {
      Check.hasText(attemptId, "attemptId");
      Check.notNull(outcome, "outcome");
      Check.notNull(hint, "hint");
    }
  }

  /**
   * Tells that the attempt did not run and will not.
   *
   * @param attemptId the attempt
   * @param reason why
   * @param message a sentence on it
   * @param retryAfterMs milliseconds after which another attempt makes sense; 0 where none does
   * @param hint the owner's view of the target
   */
  record AttemptRejected(
      String attemptId, Reason reason, String message, long retryAfterMs, Optional<TargetHint> hint)
      implements AttemptMessage {

    /** Checks the parts. */
    public AttemptRejected {
      Check.hasText(attemptId, "attemptId");
      Check.notNull(reason, "reason");
      Check.notNull(message, "message");
      Check.inRange(retryAfterMs, 0, Long.MAX_VALUE, "retryAfterMs");
      Check.notNull(hint, "hint");
    }
  }

  /**
   * Asks the owner to stop an attempt.
   *
   * @param attemptId the attempt
   * @param keepGeneration whether a generation that runs goes on, to be resumed directly
   */
  record CancelAttempt(String attemptId, boolean keepGeneration) implements AttemptMessage {

    /** Checks the parts. */
    public CancelAttempt {
      Check.hasText(attemptId, "attemptId");
    }
  }

  /**
   * Allows the owner to send more of an answer. The transport acts on it; no listener sees it.
   *
   * @param attemptId the attempt
   * @param bytes the payload bytes that have left this daemon since the last grant
   */
  record GrantCredit(String attemptId, int bytes) implements AttemptMessage {

    /** Checks the parts. */
    public GrantCredit {
      Check.hasText(attemptId, "attemptId");
      Check.inRange(bytes, 1, Integer.MAX_VALUE, "bytes");
    }
  }
}
