package org.sequoiareach.daemon.gateway;

import java.util.List;
import java.util.Map;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Scripts what the store, the targets and the callers of a training run say. Thread-safe. */
public interface TrainingScript {

  /**
   * A request of a caller.
   *
   * @param path the path
   * @param headers the headers, without the one that identifies the request
   * @param body the body of the request
   */
  record Call(String path, Map<String, String> headers, String body) {}

  /**
   * Returns the body with which the store answers a call.
   *
   * @param uri the path and query of the call
   * @param targetAddress the address of the only target
   * @return the body
   */
  String answerStore(String uri, String targetAddress);

  /**
   * Answers a request as the target does.
   *
   * @param request the request
   * @param response the response to send
   * @return completes when the response is sent
   */
  Publisher<Void> answerTarget(HttpServerRequest request, HttpServerResponse response);

  /**
   * Returns the requests that callers send.
   *
   * @return one request of each kind
   */
  List<Call> calls();

  /**
   * Returns the header that identifies a request.
   *
   * @return the name of the header
   */
  String requestIdHeader();
}
