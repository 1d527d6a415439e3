package org.sequoiareach.daemon.front;

import org.sequoiareach.model.request.Reason;

/** The ways in which an answer ends before it was written whole. */
enum AnswerEnd {
  /** The drain of this daemon ended before the answer. */
  DRAIN_DEADLINE("drain-deadline", "daemon"),
  /** The time of the request ended before the answer. */
  DEADLINE("deadline", "daemon"),
  ATTEMPT_FAILED("attempt-failed", "target"),
  /** The exchange cut its answer for another reason, which the log of decisions has. */
  CUT("other-cut", "daemon"),
  CALLER_LEFT("caller-left", "caller"),
  /** Reading from or writing to the connection failed. */
  CONNECTION_ERROR("connection-error", "caller"),
  IDLE_TIMEOUT("idle-timeout", "daemon"),
  LINGER_TIMEOUT("linger-timeout", "daemon"),
  /** The process held too much for its clients. */
  MEMORY("memory", "daemon"),
  /** The process had too many connections. */
  CONNECTION_LIMIT("connection-limit", "daemon"),
  PROCESS_END("process-end", "daemon");

  private final String label;
  private final String closer;

  AnswerEnd(String label, String closer) {
    this.label = label;
    this.closer = closer;
  }

  static AnswerEnd ofCut(Reason reason) {
    return switch (reason) {
      case NOT_READY -> DRAIN_DEADLINE;
      case DEADLINE -> DEADLINE;
      case TARGET_FAILED -> ATTEMPT_FAILED;
      default -> CUT;
    };
  }

  String label() {
    return label;
  }

  /** Returns who ended the connection. */
  String closer() {
    return closer;
  }
}
