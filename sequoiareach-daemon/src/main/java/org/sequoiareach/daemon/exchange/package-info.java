/**
 * Proxies requests: forwards each request to a target and streams the response back to the caller.
 *
 * <p>{@link org.sequoiareach.daemon.exchange.ProxyExchangeRegistry} tracks the requests in progress
 * and performs the effects that concern them. A {@link
 * org.sequoiareach.daemon.exchange.ProxyExchange} covers one request over all of its attempts, and
 * an {@link org.sequoiareach.daemon.exchange.AttemptResponseHandler} processes the response to one
 * attempt.
 */
package org.sequoiareach.daemon.exchange;
