package org.sequoiareach.standin.kv;

/** Refuses a call with one of the errors of the etcd API. */
final class KvErrorException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  KvErrorException(Kind kind, String message) {
    super("etcdserver: " + message);
    this.kind = kind;
  }

  Kind kind() {
    return kind;
  }

  /** Names an error with its gRPC code and HTTP status. */
  enum Kind {
    INVALID_ARGUMENT(3, 400),
    NOT_FOUND(5, 404),
    RESOURCE_EXHAUSTED(8, 429),
    FAILED_PRECONDITION(9, 400),
    UNIMPLEMENTED(12, 501);

    private final int code;
    private final int status;

    Kind(int code, int status) {
      this.code = code;
      this.status = status;
    }

    int code() {
      return code;
    }

    int status() {
      return status;
    }
  }
}
