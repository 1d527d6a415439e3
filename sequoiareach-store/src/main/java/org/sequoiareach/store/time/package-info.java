/** The monotonic clock that all deadlines refer to. */
package org.sequoiareach.store.time;
