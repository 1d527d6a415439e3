/** The settings of the daemon, read from a JSON file that is validated against a schema. */
package org.sequoiareach.daemon.settings;
