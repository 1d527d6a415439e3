package org.sequoiareach.daemon.gateway;

import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.dialect.EngineControl;
import org.sequoiareach.daemon.feed.StoreLayout;
import org.sequoiareach.store.http.HttpCaller;
import org.sequoiareach.store.prefix.PrefixStore;

/** Binds a gateway to the forms that its platform, callers and targets use. */
public interface GatewayBinding {

  /**
   * Returns the form of requests and answers.
   *
   * @return the dialect
   */
  CallDialect dialect();

  /**
   * Returns where the store keeps the sheet and the targets.
   *
   * @return the layout
   */
  StoreLayout layout();

  /**
   * Creates the client of the store.
   *
   * @param http makes calls
   * @param address the store's address
   * @return the client
   */
  PrefixStore createStore(HttpCaller http, String address);

  /**
   * Creates the client that gives orders to engines.
   *
   * @param http makes calls
   * @return the client
   */
  EngineControl createEngineControl(HttpCaller http);
}
