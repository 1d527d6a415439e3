package org.sequoiareach.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiareach.load.check.TargetObservations;
import org.sequoiareach.load.check.TargetObservations.GenerationCounts;
import org.sequoiareach.load.settings.Targets;
import org.sequoiareach.model.json.Json;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Fetches the execution records of the targets after a run. */
final class RecordReader {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String RECORD_PATH = "/record";
  private static final TargetObservations NO_OBSERVATIONS =
      new TargetObservations(Map.of(), Map.of(), Set.of(), List.of());

  private final HttpClient client;

  RecordReader(HttpClient client) {
    this.client = client;
  }

  Mono<TargetObservations> read(Targets targets) {
    return Flux.concat(
            Flux.fromIterable(targets.engines()).concatMap(this::readEngine),
            Flux.fromIterable(targets.services()).concatMap(this::readService))
        .reduce(NO_OBSERVATIONS, TargetObservations::merge);
  }

  private Mono<TargetObservations> readEngine(String address) {
    return fetch(address).map(RecordReader::parseEngine).onErrorReturn(missing(address));
  }

  private Mono<TargetObservations> readService(String address) {
    return fetch(address).map(RecordReader::parseService).onErrorReturn(missing(address));
  }

  private Mono<JsonNode> fetch(String address) {
    return client
        .get()
        .uri(address + RECORD_PATH)
        .responseSingle((response, content) -> content.asByteArray())
        .map(RecordReader::parse)
        .timeout(TIMEOUT);
  }

  static TargetObservations parseEngine(JsonNode document) {
    Map<String, GenerationCounts> generations = new HashMap<>();
    for (JsonNode generation : document.path("generations")) {
      GenerationCounts counts =
          new GenerationCounts(
              generation.path("timesCreated").asInt(1),
              generation.path("preemptions").asInt(),
              generation.path("tokens").asLong());
      generations.merge(generation.path("marker").asText(), counts, GenerationCounts::plus);
    }
    return new TargetObservations(generations, Map.of(), Set.of(), List.of());
  }

  static TargetObservations parseService(JsonNode document) {
    Map<String, Long> runs = new HashMap<>();
    document
        .path("runsByKey")
        .properties()
        .forEach(entry -> runs.put(entry.getKey(), entry.getValue().asLong()));
    Set<String> paths = new HashSet<>();
    document.path("calls").forEach(call -> paths.add(call.path("uri").asText()));
    return new TargetObservations(Map.of(), runs, paths, List.of());
  }

  private static TargetObservations missing(String address) {
    return new TargetObservations(Map.of(), Map.of(), Set.of(), List.of(address));
  }

  private static JsonNode parse(byte[] bytes) {
    try {
      return Json.mapper().readTree(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
