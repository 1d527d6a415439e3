/**
 * Client of the platform's VM list, which contains live and leaving VMs and is updated with a
 * delay.
 */
package org.sequoiareach.store.vm;
