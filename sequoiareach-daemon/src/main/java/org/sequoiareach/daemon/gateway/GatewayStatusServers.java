package org.sequoiareach.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import org.sequoiareach.daemon.front.StatusServer;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.daemon.operator.ReadinessFlag;

/** The servers of a gateway for the readiness check and for the metrics. */
final class GatewayStatusServers implements AutoCloseable {

  private final GatewaySettings settings;
  private final MetricRegistry metrics;
  private final EventLoop loop;
  private final MemoryAccount memory;
  private final List<StatusServer> servers;

  /** Starts the servers. */
  GatewayStatusServers(
      GatewaySettings settings,
      ReadinessFlag readiness,
      MetricRegistry metrics,
      EventLoop loop,
      MemoryAccount memory) {
    this.settings = settings;
    this.metrics = metrics;
    this.loop = loop;
    this.memory = memory;
    MetricsTextFormatter formatter = new MetricsTextFormatter(metrics);
    this.servers =
        List.of(
            start("ready", settings.readyAddress(), () -> readinessResponse(readiness)),
            start(
                "metrics",
                settings.metricsAddress(),
                () -> textResponse(HttpResponseStatus.OK, formatter.format())));
  }

  @Override
  public void close() {
    servers.forEach(StatusServer::close);
  }

  private StatusServer start(String name, String address, Supplier<FullHttpResponse> responses) {
    return new StatusServer(
        name,
        GatewaySettings.resolve(address),
        responses,
        metrics,
        loop,
        memory,
        settings.clientLimits());
  }

  private static FullHttpResponse readinessResponse(ReadinessFlag readiness) {
    HttpResponseStatus status =
        readiness.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return textResponse(status, readiness.reason() + "\n");
  }

  private static FullHttpResponse textResponse(HttpResponseStatus status, String text) {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }
}
