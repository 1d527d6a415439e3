/** Reads the platform and the engines' loads at steady periods and tells the reducer. */
package org.sequoiareach.daemon.platform;
