package org.sequoiareach.standin.server;

import reactor.netty.resources.LoopResources;

/** Provides the event loops that all stand-ins of a process share. */
public final class EventLoops {

  private static final int THREADS = 2;
  private static final LoopResources SHARED = LoopResources.create("standin", THREADS, true);

  private EventLoops() {}

  /**
   * Returns the event loops; they run on daemon threads and are never stopped.
   *
   * @return the event loops, to be used without native transports
   */
  public static LoopResources shared() {
    return SHARED;
  }
}
