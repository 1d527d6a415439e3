/**
 * Checks answers against the caller's own record, and the callers' record against what targets saw.
 */
package org.sequoiareach.load.check;
