/** Holds the daemon's settings and reads them from one checked JSON file. */
package org.sequoiareach.daemon.settings;
