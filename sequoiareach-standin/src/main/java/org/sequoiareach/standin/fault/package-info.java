/** Provides the fault switches of stand-ins. */
package org.sequoiareach.standin.fault;
