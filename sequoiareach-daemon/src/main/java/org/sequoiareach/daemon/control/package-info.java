/** Runs the reducer on a single control thread and passes its effects to their handlers. */
package org.sequoiareach.daemon.control;
