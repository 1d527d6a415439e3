package org.sequoiareach.decision.fuzz;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.RequestSpec;

/** Simulated engine or service. */
final class SimulatedTarget {

  private static final long TOKEN_MS = 20;
  private static final long NEVER_MS = Long.MAX_VALUE / 2;

  final String id;
  final VmKind kind;
  long leavingSinceMs = NEVER_MS;
  boolean alive = true;
  private final SimulatedCluster cluster;
  private final Map<String, Generation> generations = new HashMap<>();

  SimulatedTarget(SimulatedCluster cluster, String id, VmKind kind) {
    this.cluster = cluster;
    this.id = id;
    this.kind = kind;
  }

  /** Receives the tokens of one generation while its connection is open. */
  interface TokenReader {
    void token(long sequence, String generatedFor);

    void complete(int tokens);

    void lost();
  }

  VmEntry entry(boolean leaving) {
    String serves = kind == VmKind.ENGINE ? SimulatedCluster.MODEL : SimulatedCluster.SERVICE;
    return new VmEntry(id, kind, id + ":1", "z", leaving, List.of(serves));
  }

  void generate(String attemptId, RequestSpec spec, TokenReader reader) {
    Generation generation = new Generation(spec.requestId(), 1 + cluster.random.nextInt(40));
    generation.reader = reader;
    generations.put(attemptId, generation);
    cluster.clock.after(TOKEN_MS, () -> generateNext(attemptId));
  }

  /** Finds the generation of an attempt; empty if the target does not have it. */
  Optional<Generation> find(String attemptId) {
    return Optional.ofNullable(generations.get(attemptId));
  }

  void cancel(String attemptId) {
    generations.remove(attemptId);
  }

  void resume(Generation generation, TokenReader reader, long after) {
    generation.reader = reader;
    for (long sequence = after + 1; sequence <= generation.generated; sequence++) {
      reader.token(sequence, generation.requestId);
    }
    if (generation.generated == generation.length) {
      reader.complete(generation.length);
    }
  }

  void leave() {
    leavingSinceMs = Math.min(leavingSinceMs, cluster.clock.nowMs());
    cluster.clock.after(12_000, this::die);
  }

  void die() {
    if (!alive) {
      return;
    }
    alive = false;
    generations.values().forEach(generation -> generation.reader.lost());
    generations.clear();
    cluster.clock.after(2_000, this::restart);
  }

  private void restart() {
    alive = true;
    leavingSinceMs = NEVER_MS;
    cluster.checker.targetReplaced(id);
  }

  private void generateNext(String attemptId) {
    Generation generation = generations.get(attemptId);
    if (generation == null || generation.generated == generation.length) {
      return;
    }
    generation.generated++;
    generation.reader.token(generation.generated, generation.requestId);
    if (generation.generated == generation.length) {
      generation.reader.complete(generation.length);
      return;
    }
    cluster.clock.after(TOKEN_MS, () -> generateNext(attemptId));
  }

  /** Generation with its progress and reader. */
  static final class Generation {

    private final String requestId;
    private final int length;
    private int generated;
    private TokenReader reader;

    private Generation(String requestId, int length) {
      this.requestId = requestId;
      this.length = length;
    }
  }
}
