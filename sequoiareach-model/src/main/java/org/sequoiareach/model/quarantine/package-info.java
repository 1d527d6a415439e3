/** Values by which daemons agree on requests that crash the targets that run them. */
package org.sequoiareach.model.quarantine;
