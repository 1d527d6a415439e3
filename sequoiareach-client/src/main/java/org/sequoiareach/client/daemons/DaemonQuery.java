package org.sequoiareach.client.daemons;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import org.sequoiareach.client.command.CommandException;
import org.sequoiareach.client.command.Connections;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.client.settings.ClientSettings;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.store.http.HttpCallResponse;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends the same query to every daemon of the settings concurrently. */
final class DaemonQuery {

  private static final int CONCURRENT_CALLS = 32;

  private final ClientSettings settings;
  private final String path;
  private final IntPredicate acceptedStatus;

  DaemonQuery(ClientSettings settings, String path, IntPredicate acceptedStatus) {
    this.settings = settings;
    this.path = path;
    this.acceptedStatus = acceptedStatus;
  }

  /** Returns one response per daemon, in the order of the settings. */
  List<DaemonResponse> run() {
    if (settings.daemons().isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "The settings do not list any daemons.");
    }
    try (Connections connections = new Connections(settings)) {
      return Flux.fromIterable(settings.daemons())
          .flatMapSequential(daemon -> query(connections, daemon), CONCURRENT_CALLS)
          .collectList()
          .block();
    }
  }

  private Mono<DaemonResponse> query(Connections connections, ClientSettings.DaemonAddress daemon) {
    return connections
        .httpCaller()
        .get(daemon.operators(), path, connections.deadlineMs())
        .map(answer -> read(daemon, answer))
        .onErrorResume(e -> Mono.just(missing(daemon, String.valueOf(e.getMessage()))));
  }

  private DaemonResponse read(ClientSettings.DaemonAddress daemon, HttpCallResponse answer) {
    if (!acceptedStatus.test(answer.status())) {
      return missing(daemon, "unexpected HTTP status " + answer.status());
    }
    try {
      JsonNode node = Json.mapper().readTree(answer.body());
      return new DaemonResponse(daemon.id(), daemon.operators(), Optional.of(node), "");
    } catch (JsonProcessingException e) {
      return missing(daemon, "the response is not valid JSON");
    }
  }

  private static DaemonResponse missing(ClientSettings.DaemonAddress daemon, String problem) {
    return new DaemonResponse(daemon.id(), daemon.operators(), Optional.empty(), problem);
  }
}
