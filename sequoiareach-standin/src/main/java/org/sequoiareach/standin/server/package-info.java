/** Provides the common parts of stand-ins: lifecycle, health check, record and fault switches. */
package org.sequoiareach.standin.server;
