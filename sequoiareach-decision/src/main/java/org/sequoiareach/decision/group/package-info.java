/** Joins the parts of the reducer that deal with the other daemons. */
package org.sequoiareach.decision.group;
