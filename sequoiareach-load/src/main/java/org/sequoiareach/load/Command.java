package org.sequoiareach.load;

import java.io.IOException;
import java.io.PrintStream;

/** Is one command of the command line. */
public interface Command {

  /**
   * Carries the command out.
   *
   * @param out where its result goes
   * @return the exit code
   * @throws IOException if a file cannot be read or written
   * @throws InterruptedException if the thread is interrupted
   */
  int execute(PrintStream out) throws IOException, InterruptedException;
}
