package org.sequoiareach.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.decision.dispatch.CallProfile;
import reactor.netty.resources.LoopResources;

/** Tests requests whose caller closed the connection before a busy process read them. */
class CallerThatLeftTest {

  private static final long TIMEOUT_MS = 5_000;

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final List<String> order = new CopyOnWriteArrayList<>();
  private final CountDownLatch done = new CountDownLatch(1);

  @AfterEach
  void stop() {
    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();
  }

  /** Guards against a request that is sent to a target although its caller has gone long ago. */
  @Test
  void noticesCallerThatLeftBeforeRequestIsDecidedOn() throws Exception {
    GatewayHttpServer server =
        new GatewayHttpServer(
            new CallerConnectionTest.PlainDialect(),
            this::handle,
            new MetricRegistry(),
            loop,
            MemoryAccount.ofProcess(),
            ClientLimits.DEFAULT);
    Channel channel = server.accept(GatewayHttpServer.bind(new InetSocketAddress("127.0.0.1", 0)));
    CountDownLatch left = new CountDownLatch(1);
    try (Socket caller = new Socket("127.0.0.1", portOf(channel))) {
      // Accepted before the loop is busy.
      loop.submit(() -> {}).get();
      TimeUnit.MILLISECONDS.sleep(50);
      loop.execute(() -> awaitUninterruptibly(left));
      caller
          .getOutputStream()
          .write("GET /x HTTP/1.1\r\nid: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      caller.shutdownOutput();
    }
    left.countDown();

    assertThat(done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(order).containsExactly("request", "left", "decided");
    channel.close();
  }

  private Runnable handle(
      CallProfile profile, HttpRequest request, ByteBuf body, ResponseWriter response) {
    body.release();
    order.add("request");
    // The decision of another thread comes back by a task, after those of the present turn.
    loop.execute(() -> loop.execute(this::decide));
    return () -> order.add("left");
  }

  private void decide() {
    order.add("decided");
    done.countDown();
  }

  private static int portOf(Channel channel) {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
