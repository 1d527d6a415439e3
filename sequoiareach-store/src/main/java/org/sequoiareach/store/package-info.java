/** Clients of the platform's services: the key-value service and the VM list. */
package org.sequoiareach.store;
