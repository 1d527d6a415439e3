/** Implements the command line that runs stand-ins as a process. */
package org.sequoiareach.standin.command;
