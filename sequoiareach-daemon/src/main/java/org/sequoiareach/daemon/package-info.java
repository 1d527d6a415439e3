/** The daemon {@code sequoiareachd}: its main class and the wiring of its parts. */
package org.sequoiareach.daemon;
