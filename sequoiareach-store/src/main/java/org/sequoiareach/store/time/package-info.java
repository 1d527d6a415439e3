/** Reads the monotonic clock on which every deadline is stored. */
package org.sequoiareach.store.time;
