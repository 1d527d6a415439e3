package org.sequoiareach.daemon.target;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.http.HttpCaller;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Base of tests of clients whose target sends arbitrary bytes. */
abstract class AbstractRawTargetTest {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  final LoopResources resources = LoopResources.create("test", 1, true);
  final ConnectionProvider connections = ConnectionProvider.create("test", 10);
  final HttpCaller http =
      new HttpCaller(HttpClient.create(connections).runOn(resources, false), MAX_BODY_BYTES);
  RawServer server;

  @BeforeEach
  void start() throws IOException {
    server = new RawServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    connections.dispose();
    resources.disposeLater(Duration.ZERO, STOP_TIMEOUT).block();
  }
}
