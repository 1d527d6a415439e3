package org.sequoiareach.daemon.exchange;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.Set;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;

/**
 * Collaborators that all exchanges of a gateway share.
 *
 * @param dialect translates HTTP headers
 * @param connections the pooled connections to targets
 * @param events receives the events of the exchanges
 * @param metrics the registry for latencies
 * @param loop the event loop that all exchanges run on
 * @param suspensionDetector detects suspensions of the VM
 * @param rateWatch the identities of the targets whose answers are reported also if they state no
 *     rate of requests; changed on the event loop only
 * @param responseMemory limits what is held of incomplete responses; used on the event loop only
 */
record ProxyExchangeContext(
    CallDialect dialect,
    TargetConnectionManager connections,
    EventSink events,
    MetricRegistry metrics,
    EventLoop loop,
    SuspensionDetector suspensionDetector,
    Set<String> rateWatch,
    HeldBytes responseMemory) {}
