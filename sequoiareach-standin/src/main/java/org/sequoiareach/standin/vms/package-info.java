/** Simulates the platform's list of VMs, whose changes become visible with a lag. */
package org.sequoiareach.standin.vms;
