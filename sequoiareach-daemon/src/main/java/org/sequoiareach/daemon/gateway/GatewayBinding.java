package org.sequoiareach.daemon.gateway;

import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.dialect.EngineControl;
import org.sequoiareach.daemon.feed.StoreLayout;
import org.sequoiareach.store.http.HttpCaller;
import org.sequoiareach.store.prefix.PrefixStore;

/**
 * Supplies a {@link Gateway} with the wire formats, store layout and clients of the platform that
 * it runs on.
 */
public interface GatewayBinding {

  /**
   * Returns the translator between HTTP headers and the gateway's model of requests and responses.
   *
   * @return the dialect
   */
  CallDialect dialect();

  /**
   * Returns the keys and value formats under which the store holds the routing sheet and the
   * targets.
   *
   * @return the layout
   */
  StoreLayout layout();

  /**
   * Creates a client for the store.
   *
   * @param http the HTTP client to use
   * @param address the IP address and port of the store
   * @return the store client
   */
  PrefixStore createStore(HttpCaller http, String address);

  /**
   * Creates a client for the control operations of engines.
   *
   * @param http the HTTP client to use
   * @return the engine client
   */
  EngineControl createEngineControl(HttpCaller http);
}
