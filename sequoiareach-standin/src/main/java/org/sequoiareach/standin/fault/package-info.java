/** Holds the fault switches of a stand-in. */
package org.sequoiareach.standin.fault;
