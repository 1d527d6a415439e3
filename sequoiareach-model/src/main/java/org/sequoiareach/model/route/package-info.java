/** The routing sheet: routes, services, limits of callers and organisations, and its targets. */
package org.sequoiareach.model.route;
