/** Defines what every command of the client has in common: options, results and exit codes. */
package org.sequoiareach.client.command;
