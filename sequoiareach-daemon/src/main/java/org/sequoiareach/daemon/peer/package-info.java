/**
 * Connects this daemon with the other daemons: attempts forwarded to the daemons that own their
 * targets, the answers to them, membership, and the synchronisation of sheets.
 */
package org.sequoiareach.daemon.peer;
