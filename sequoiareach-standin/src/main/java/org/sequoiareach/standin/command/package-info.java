/** Reads the command line of the stand-ins and runs them as a process. */
package org.sequoiareach.standin.command;
