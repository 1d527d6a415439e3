/** Asks daemons for their status and for explanations of decisions. */
package org.sequoiareach.client.daemons;
