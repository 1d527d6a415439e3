/** State of VMs, targets and daemons, as reported by the platform, by targets and by daemons. */
package org.sequoiareach.model.platform;
