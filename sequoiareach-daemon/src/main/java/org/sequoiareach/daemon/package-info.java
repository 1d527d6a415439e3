/** The daemon {@code sequoiareachd}: its main class and the composition of its components. */
package org.sequoiareach.daemon;
