/** Describes what the platform tells of VMs and what targets tell of themselves. */
package org.sequoiareach.model.platform;
