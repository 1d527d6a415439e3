/**
 * Assembles the gateway: the daemon variant that routes requests by the rules of a routing sheet.
 *
 * <p>{@link org.sequoiareach.daemon.gateway.Gateway} is the composition root. What depends on the
 * platform, such as wire formats and store layout, comes from a {@link
 * org.sequoiareach.daemon.gateway.GatewayBinding}.
 */
package org.sequoiareach.daemon.gateway;
