package org.sequoiareach.load;

import java.io.IOException;
import java.io.PrintStream;

/** A subcommand of the command line. */
public interface Command {

  /**
   * Executes the command.
   *
   * @param out the stream for the result
   * @return the exit code
   * @throws IOException if a file cannot be read or written
   * @throws InterruptedException if the thread is interrupted
   */
  int execute(PrintStream out) throws IOException, InterruptedException;
}
