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

/** Asks every daemon of the settings the same question. */
final class DaemonInquiry {

  private static final int CONCURRENT_CALLS = 32;

  private final ClientSettings settings;
  private final String path;
  private final IntPredicate accepted;

  DaemonInquiry(ClientSettings settings, String path, IntPredicate accepted) {
    this.settings = settings;
    this.path = path;
    this.accepted = accepted;
  }

  /** Returns one answer a daemon, in the order of the settings. */
  List<DaemonAnswer> run() {
    if (settings.daemons().isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "The settings name no daemons.");
    }
    try (Connections connections = new Connections(settings)) {
      return Flux.fromIterable(settings.daemons())
          .flatMapSequential(daemon -> ask(connections, daemon), CONCURRENT_CALLS)
          .collectList()
          .block();
    }
  }

  private Mono<DaemonAnswer> ask(Connections connections, ClientSettings.DaemonAddress daemon) {
    return connections
        .daemons()
        .get(daemon.operators(), path, connections.deadlineMs())
        .map(answer -> read(daemon, answer))
        .onErrorResume(e -> Mono.just(missing(daemon, String.valueOf(e.getMessage()))));
  }

  private DaemonAnswer read(ClientSettings.DaemonAddress daemon, HttpCallResponse answer) {
    if (!accepted.test(answer.status())) {
      return missing(daemon, "it answered " + answer.status());
    }
    try {
      JsonNode node = Json.mapper().readTree(answer.body());
      return new DaemonAnswer(daemon.id(), daemon.operators(), Optional.of(node), "");
    } catch (JsonProcessingException e) {
      return missing(daemon, "its answer is not JSON");
    }
  }

  private static DaemonAnswer missing(ClientSettings.DaemonAddress daemon, String problem) {
    return new DaemonAnswer(daemon.id(), daemon.operators(), Optional.empty(), problem);
  }
}
