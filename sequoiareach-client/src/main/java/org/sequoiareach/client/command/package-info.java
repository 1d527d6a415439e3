/**
 * Infrastructure shared by all client commands: options, results, exit codes, files and
 * connections.
 */
package org.sequoiareach.client.command;
