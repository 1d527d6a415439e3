/** Clients for the targets: model engines and services. */
package org.sequoiareach.daemon.target;
