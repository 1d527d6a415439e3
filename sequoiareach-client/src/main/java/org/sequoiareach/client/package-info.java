/** Operator command line {@code sequoiareach}: command lookup, execution and output. */
package org.sequoiareach.client;
