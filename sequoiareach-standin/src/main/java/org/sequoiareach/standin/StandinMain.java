package org.sequoiareach.standin;

import java.util.concurrent.CountDownLatch;
import org.sequoiareach.standin.command.StandinProgram;

/** Runs stand-ins as a process until it is told to stop. */
public final class StandinMain {

  private StandinMain() {}

  /**
   * Starts the stand-ins that the arguments name.
   *
   * @param args the command line
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

  /** Stops the stand-ins and ends the process as a planned stop, in place of by the signal. */
  private static void stop(StandinProgram program) {
    program.close();
    Runtime.getRuntime().halt(StandinProgram.EXIT_OK);
  }
}
