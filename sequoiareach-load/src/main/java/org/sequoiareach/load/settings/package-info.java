/** Reads and checks the settings of load runs and of comparisons. */
package org.sequoiareach.load.settings;
