package org.sequoiareach.standin.kv;

/** Signals an error that is reported to the client as an etcd error. */
final class KvApiException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  KvApiException(Kind kind, String message) {
    super("etcdserver: " + message);
    this.kind = kind;
  }

  Kind kind() {
    return kind;
  }

  /** Enumerates the error kinds with their gRPC codes and HTTP statuses. */
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
