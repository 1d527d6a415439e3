/** Talks to the platform: its key-value service and its list of VMs. */
package org.sequoiareach.store;
