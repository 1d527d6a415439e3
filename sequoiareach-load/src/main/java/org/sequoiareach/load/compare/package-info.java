/**
 * Policy comparisons: runs several policies on the same traces and reports their results side by
 * side.
 */
package org.sequoiareach.load.compare;
