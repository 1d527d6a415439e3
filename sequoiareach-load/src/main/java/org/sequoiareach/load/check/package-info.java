/**
 * Correctness checks: the content of each response, and the results that clients observed against
 * the records of the targets.
 */
package org.sequoiareach.load.check;
