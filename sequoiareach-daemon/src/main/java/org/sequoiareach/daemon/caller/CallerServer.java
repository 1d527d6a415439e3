package org.sequoiareach.daemon.caller;

import java.net.InetSocketAddress;
import org.sequoiareach.daemon.settings.DaemonSettings.CallerSettings;
import org.sequoiareach.daemon.target.EngineClient;
import org.sequoiareach.model.request.Reason;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/** Listens for callers. */
public final class CallerServer {

  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final int REQUEST_LINE_BYTES = 8 << 10;

  private final CompletionHandler completions;
  private final StoredCompletionHandler stored;
  private final ModelsHandler models;
  private final ServiceHandler services;
  private final CallerSettings settings;

  /**
   * Creates a server that is not started.
   *
   * @param settings the listener and its limits
   * @param keys finds organisations, the sheet and VMs
   * @param calls submits requests
   * @param ids gives identities to requests
   * @param engines resumes and cancels stored answers
   */
  public CallerServer(
      CallerSettings settings,
      KeyDirectory keys,
      CallContext calls,
      RequestIds ids,
      EngineClient engines) {
    BodyReader bodies = new BodyReader(settings.bodyBytes());
    DeadlineResolver deadlines = new DeadlineResolver(settings.requestDeadlineMs());
    this.settings = settings;
    this.completions = new CompletionHandler(keys, calls, ids, bodies, deadlines);
    this.stored = new StoredCompletionHandler(keys, engines);
    this.models = new ModelsHandler(keys);
    this.services = new ServiceHandler(keys, calls, ids, bodies, deadlines);
  }

  /**
   * Starts listening.
   *
   * @param traffic the traffic threads
   * @param address where to listen
   * @return the running server
   */
  public DisposableServer start(LoopResources traffic, InetSocketAddress address) {
    return HttpServer.create()
        .runOn(traffic, false)
        .bindAddress(() -> address)
        .httpRequestDecoder(
            spec ->
                spec.maxHeaderSize(settings.headerBytes()).maxInitialLineLength(REQUEST_LINE_BYTES))
        .route(this::addRoutes)
        .bindNow();
  }

  private void addRoutes(HttpServerRoutes routes) {
    routes
        .post(COMPLETIONS, completions::create)
        .get(COMPLETIONS + "/{id}", stored::resume)
        .delete(COMPLETIONS + "/{id}", stored::cancel)
        .get("/v1/models", models::list)
        .route(ServiceHandler::covers, services::call)
        .route(
            request -> true,
            (request, response) ->
                Mono.from(
                    ErrorResponses.openAi(
                        response,
                        Refusals.of(
                            Reason.NOT_FOUND,
                            "there is no " + request.method() + " " + request.uri()))));
  }
}
