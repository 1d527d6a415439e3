package org.sequoiareach.daemon.memory;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.util.internal.PlatformDependent;
import org.sequoiareach.model.Check;

/**
 * Accounts for the memory that a process holds for its clients and targets, by the memory that it
 * comes from. Each holder reserves before it retains. Not thread-safe; confined to the event loop.
 *
 * @param heads heap for request heads, whose lines cost many times their bytes, and connections
 * @param bodies direct memory for request bodies
 * @param reads direct memory for bytes that were received and wait for their turn
 * @param responses direct memory for incomplete events and responses that are not forwarded yet
 */
public record MemoryAccount(
    HeldBytes heads, HeldBytes bodies, HeldBytes reads, HeldBytes responses) {

  /** The rest of the heap is for routing, for messages of peers and for garbage. */
  private static final int HEAP_DIVISOR = 3;

  private static final int BODIES_DIVISOR = 3;
  private static final int READS_DIVISOR = 4;
  private static final int RESPONSES_DIVISOR = 4;

  /** Validates the components. */
  public MemoryAccount {
    Check.notNull(heads, "heads");
    Check.notNull(bodies, "bodies");
    Check.notNull(reads, "reads");
    Check.notNull(responses, "responses");
  }

  /**
   * Creates an account whose limits follow the heap and the direct memory of this process.
   *
   * @return an account that holds nothing
   */
  public static MemoryAccount ofProcess() {
    return withBodies(HeldBytes.shareOfDirectMemory(BODIES_DIVISOR));
  }

  /**
   * Creates an account of this process with a limit of its own for request bodies.
   *
   * @param bodies the limit for request bodies
   * @return an account that holds nothing
   */
  public static MemoryAccount withBodies(HeldBytes bodies) {
    long directBytes = PlatformDependent.maxDirectMemory();
    return new MemoryAccount(
        new HeldBytes(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR),
        bodies,
        new HeldBytes(directBytes / READS_DIVISOR),
        new HeldBytes(directBytes / RESPONSES_DIVISOR));
  }

  /**
   * Registers a gauge of what is held of each kind.
   *
   * @param metrics the registry
   */
  public void register(MetricRegistry metrics) {
    register(metrics, "heads", heads);
    register(metrics, "bodies", bodies);
    register(metrics, "reads", reads);
    register(metrics, "responses", responses);
  }

  private static void register(MetricRegistry metrics, String kind, HeldBytes held) {
    metrics.register("memory.held." + kind + ".bytes", (Gauge<Long>) held::heldBytes);
  }
}
