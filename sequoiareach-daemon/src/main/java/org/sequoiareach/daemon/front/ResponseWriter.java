package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.sequoiareach.model.request.Reason;

/**
 * Writes the response to one request.
 *
 * <p>Not thread-safe; confined to the event loop. Calls after the end of the response or of the
 * connection have no effect.
 */
public interface ResponseWriter {

  /**
   * Returns whether more of the response can be written.
   *
   * @return false once the response has ended or the connection is closed
   */
  boolean isOpen();

  /**
   * Writes the response head, which is sent like a part of the body.
   *
   * @param status the HTTP status
   * @param headers the headers without those that frame the message, such as Content-Length
   * @param length the length of the body in bytes; if empty, the body is sent chunked
   */
  void sendHead(HttpResponseStatus status, HttpHeaders headers, OptionalLong length);

  /**
   * Writes a part of the body, which is sent at the next {@link #flush()} or at the end.
   *
   * @param part the bytes, which are released
   */
  void sendContent(ByteBuf part);

  /** Sends what was written, so that many short parts cost one system call. */
  default void flush() {}

  /** Ends a complete response. */
  void finish();

  /**
   * Closes the connection without ending the response, so that the caller sees it as incomplete.
   */
  void abort();

  /**
   * Cuts the response, like {@link #abort()}.
   *
   * @param reason why, for the log
   */
  default void abort(Reason reason) {
    abort();
  }

  /**
   * Sets the listener for back-pressure of the caller.
   *
   * @param listener receives false when the caller reads too slowly and true when it catches up
   */
  void onWritabilityChanged(Consumer<Boolean> listener);
}
