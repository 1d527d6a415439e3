/**
 * Command line of the {@code sequoiareach-load} tool, which runs load tests and policy comparisons.
 */
package org.sequoiareach.load;
