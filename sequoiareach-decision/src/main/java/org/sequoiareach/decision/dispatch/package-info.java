/**
 * Dispatches routed requests to targets: places, retries and refuses them, and migrates running
 * generations.
 *
 * <p>A <em>call</em> is a request of a caller that this daemon has accepted. Each <em>attempt</em>
 * sends it to one <em>target</em>, which is an engine that generates tokens or an instance of a
 * plain service. A <em>run</em> is the execution of a generation on an engine, and its
 * <em>memory</em> is its KV cache. All decisions are taken by {@link
 * org.sequoiareach.decision.dispatch.DispatchReducer}, which turns events into effects without I/O.
 */
package org.sequoiareach.decision.dispatch;
