/** Stands in for the platform's lagging list of VMs. */
package org.sequoiareach.standin.vms;
