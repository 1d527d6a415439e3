/** Starts the stand-ins for the platform and the targets as processes. */
package org.sequoiareach.standin;
