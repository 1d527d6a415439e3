/** Holds the command line of the load tool. */
package org.sequoiareach.load;
