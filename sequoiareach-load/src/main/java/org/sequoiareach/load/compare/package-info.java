/** Runs several policies on the same traces and writes the figures side by side. */
package org.sequoiareach.load.compare;
