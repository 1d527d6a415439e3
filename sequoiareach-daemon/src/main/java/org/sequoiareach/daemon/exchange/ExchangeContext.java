package org.sequoiareach.daemon.exchange;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.upstream.TargetConnections;

/**
 * Holds what exchanges share.
 *
 * @param dialect translates headers
 * @param connections the connections to targets
 * @param events takes what happens
 * @param metrics the registry for latencies
 * @param loop the traffic thread
 * @param suspensions notices suspensions
 */
record ExchangeContext(
    CallDialect dialect,
    TargetConnections connections,
    EventSink events,
    MetricRegistry metrics,
    EventLoop loop,
    SuspensionWatch suspensions) {}
