/**
 * The routing sheet, which configures routes, services, caller limits and organisations, and the
 * targets to which requests are routed.
 */
package org.sequoiareach.model.route;
