package org.sequoiareach.standin.server;

import java.net.InetSocketAddress;

/** Runs one stand-in inside this process. Implementations are thread-safe. */
public interface Standin extends AutoCloseable {

  /**
   * Starts listening.
   *
   * @return the bound address; its port is a free one where the settings give port 0
   * @throws IllegalStateException if it was started before
   */
  InetSocketAddress start();

  /** Stops listening and closes all connections. Does nothing where it was never started. */
  @Override
  void close();
}
