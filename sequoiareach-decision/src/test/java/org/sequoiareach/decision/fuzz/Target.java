package org.sequoiareach.decision.fuzz;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.RequestSpec;

/** Stands for an engine or a plain service. */
final class Target {

  private static final long TOKEN_MS = 20;
  private static final long NEVER_MS = Long.MAX_VALUE / 2;

  final String id;
  final VmKind kind;
  long leavingSinceMs = NEVER_MS;
  boolean alive = true;
  private final World world;
  private final Map<String, Generation> generations = new HashMap<>();

  Target(World world, String id, VmKind kind) {
    this.world = world;
    this.id = id;
    this.kind = kind;
  }

  /** Is told of the tokens of one generation while its connection stands. */
  interface Reader {
    void token(long sequence, String madeFor);

    void whole(int tokens);

    void lost();
  }

  VmEntry entry(boolean leaving) {
    String serves = kind == VmKind.ENGINE ? World.MODEL : World.SERVICE;
    return new VmEntry(id, kind, id + ":1", "z", leaving, List.of(serves));
  }

  void generate(String attemptId, RequestSpec spec, Reader reader) {
    Generation generation = new Generation(spec.requestId(), 1 + world.random.nextInt(40));
    generation.reader = reader;
    generations.put(attemptId, generation);
    world.time.after(TOKEN_MS, () -> step(attemptId));
  }

  /** Reads on from a generation; empty if it is not known. */
  Optional<Generation> find(String attemptId) {
    return Optional.ofNullable(generations.get(attemptId));
  }

  void cancel(String attemptId) {
    generations.remove(attemptId);
  }

  void readOn(Generation generation, Reader reader, long after) {
    generation.reader = reader;
    for (long sequence = after + 1; sequence <= generation.made; sequence++) {
      reader.token(sequence, generation.requestId);
    }
    if (generation.made == generation.length) {
      reader.whole(generation.length);
    }
  }

  void leave() {
    leavingSinceMs = Math.min(leavingSinceMs, world.time.nowMs());
    world.time.after(12_000, this::die);
  }

  void die() {
    if (!alive) {
      return;
    }
    alive = false;
    generations.values().forEach(generation -> generation.reader.lost());
    generations.clear();
    world.time.after(2_000, this::replace);
  }

  private void replace() {
    alive = true;
    leavingSinceMs = NEVER_MS;
    world.oracle.back(id);
  }

  private void step(String attemptId) {
    Generation generation = generations.get(attemptId);
    if (generation == null || generation.made == generation.length) {
      return;
    }
    generation.made++;
    generation.reader.token(generation.made, generation.requestId);
    if (generation.made == generation.length) {
      generation.reader.whole(generation.length);
      return;
    }
    world.time.after(TOKEN_MS, () -> step(attemptId));
  }

  /** Holds one generation and its answer. */
  static final class Generation {

    private final String requestId;
    private final int length;
    private int made;
    private Reader reader;

    private Generation(String requestId, int length) {
      this.requestId = requestId;
      this.length = length;
    }
  }
}
