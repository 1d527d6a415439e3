package org.sequoiareach.standin.engine;

/** Represents the outcome of submitting a generation, with its HTTP status and error message. */
enum SubmissionResult {
  ACCEPTED(200, "accepted"),
  DUPLICATE(409, "a generation with this id already exists"),
  FULL(503, "the queue is full"),
  LEAVING(503, "the engine is shutting down"),
  REFUSED(503, "a fault switch rejects new generations"),
  UNKNOWN_MODEL(404, "the model is not loaded"),
  TOO_LONG(400, "the prompt exceeds the KV cache of the engine"),
  DOWN(0, "the engine is down");

  private final int status;
  private final String message;

  SubmissionResult(int status, String message) {
    this.status = status;
    this.message = message;
  }

  int status() {
    return status;
  }

  String message() {
    return message;
  }
}
