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

/** The HTTP server for callers: it binds the listener and routes requests to their handlers. */
public final class CallerServer {

  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;

  private final CompletionHandler completions;
  private final StoredCompletionHandler storedCompletions;
  private final ModelsHandler models;
  private final ServiceCallHandler serviceCalls;
  private final CallerSettings settings;

  /**
   * Creates a server that is not started.
   *
   * @param settings the settings of the listener and its limits
   * @param directory finds organisations, the sheet and VMs
   * @param submitter submits requests to the reducer
   * @param ids generates request IDs
   * @param engines resumes and cancels stored generations
   */
  public CallerServer(
      CallerSettings settings,
      PlatformDirectory directory,
      RequestSubmitter submitter,
      RequestIdGenerator ids,
      EngineClient engines) {
    BodyReader bodies = new BodyReader(settings.bodyBytes());
    DeadlineResolver deadlines = new DeadlineResolver(settings.requestDeadlineMs());
    this.settings = settings;
    this.completions = new CompletionHandler(directory, submitter, ids, bodies, deadlines);
    this.storedCompletions = new StoredCompletionHandler(directory, engines);
    this.models = new ModelsHandler(directory);
    this.serviceCalls = new ServiceCallHandler(directory, submitter, ids, bodies, deadlines);
  }

  /**
   * Starts listening.
   *
   * @param eventLoops the event loops that serve connections
   * @param address the address to listen on
   * @return the running server
   */
  public DisposableServer start(LoopResources eventLoops, InetSocketAddress address) {
    return HttpServer.create()
        .runOn(eventLoops, false)
        .bindAddress(() -> address)
        .httpRequestDecoder(
            spec ->
                spec.maxHeaderSize(settings.headerBytes())
                    .maxInitialLineLength(MAX_REQUEST_LINE_BYTES))
        .route(this::addRoutes)
        .bindNow();
  }

  private void addRoutes(HttpServerRoutes routes) {
    routes
        .post(COMPLETIONS, completions::create)
        .get(COMPLETIONS + "/{id}", storedCompletions::resume)
        .delete(COMPLETIONS + "/{id}", storedCompletions::cancel)
        .get("/v1/models", models::list)
        .route(ServiceCallHandler::matches, serviceCalls::call)
        .route(
            request -> true,
            (request, response) ->
                Mono.from(
                    ErrorResponses.writeOpenAi(
                        response,
                        Refusals.of(
                            Reason.NOT_FOUND,
                            "no route for " + request.method() + " " + request.uri()))));
  }
}
