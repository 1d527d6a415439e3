package org.sequoiareach.standin.server;

import reactor.netty.resources.LoopResources;

/** Provides the event loops shared by all stand-ins of a process. */
public final class EventLoops {

  private static final int THREADS = 2;
  private static final LoopResources SHARED = LoopResources.create("standin", THREADS, true);

  private EventLoops() {}

  /**
   * Returns the shared event loops, which run on daemon threads and are never stopped.
   *
   * @return the event loops, for use without native transports
   */
  public static LoopResources shared() {
    return SHARED;
  }
}
