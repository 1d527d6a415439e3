/** Reads the platform's lagging list of live and leaving VMs. */
package org.sequoiareach.store.vm;
