package org.sequoiareach.standin;

import java.util.concurrent.CountDownLatch;
import org.sequoiareach.standin.command.StandinProgram;

/** Runs stand-ins as a process until it is terminated. */
public final class StandinMain {

  private StandinMain() {}

  /**
   * Starts the stand-ins that the arguments specify.
   *
   * @param args the command-line arguments
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    System.setProperty("log4j2.configurationFile", "org/sequoiareach/standin/log4j2-standin.xml");
    StandinProgram program = new StandinProgram(System.out, System.err);
    int code = program.start(args);
    if (program.started().isEmpty()) {
      System.exit(code);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(program), "standin-stop"));
    new CountDownLatch(1).await();
  }

  /** Stops the stand-ins and exits with code 0 instead of the exit code of the signal. */
  private static void stop(StandinProgram program) {
    program.close();
    Runtime.getRuntime().halt(StandinProgram.EXIT_OK);
  }
}
