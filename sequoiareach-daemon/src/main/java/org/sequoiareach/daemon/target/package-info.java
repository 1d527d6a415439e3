/** Speaks to targets: model engines and plain services. */
package org.sequoiareach.daemon.target;
