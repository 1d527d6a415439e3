/** Commands that query daemons for their status and for the decisions made for a request. */
package org.sequoiareach.client.daemons;
