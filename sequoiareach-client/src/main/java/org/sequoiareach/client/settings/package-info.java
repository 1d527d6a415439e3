/** Reads the client's settings. */
package org.sequoiareach.client.settings;
