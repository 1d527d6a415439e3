package org.sequoiareach.standin.engine;

/** Says whether an engine took a generation, and why not. */
enum Admission {
  ACCEPTED(200, "accepted"),
  DUPLICATE(409, "a generation with this id is already known"),
  FULL(503, "the queue is full"),
  LEAVING(503, "the engine is leaving"),
  REFUSED(503, "the engine refuses new generations"),
  UNKNOWN_MODEL(404, "the model is not loaded"),
  TOO_LONG(400, "the prompt does not fit the memory"),
  DEAD(0, "the engine is dead");

  private final int status;
  private final String message;

  Admission(int status, String message) {
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
