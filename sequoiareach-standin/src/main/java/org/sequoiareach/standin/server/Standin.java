package org.sequoiareach.standin.server;

import java.net.InetSocketAddress;

/**
 * Controls one stand-in, a simulated service that runs inside this process. Implementations are
 * thread-safe.
 */
public interface Standin extends AutoCloseable {

  /**
   * Starts listening.
   *
   * @return the bound address, with the selected port if the settings specify port 0
   * @throws IllegalStateException if the stand-in has already been started
   */
  InetSocketAddress start();

  /** Stops listening and closes all connections; does nothing if never started. */
  @Override
  void close();
}
