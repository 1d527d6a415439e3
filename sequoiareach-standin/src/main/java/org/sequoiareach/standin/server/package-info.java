/** Serves what all stand-ins have in common: start and stop, health, record and fault switches. */
package org.sequoiareach.standin.server;
