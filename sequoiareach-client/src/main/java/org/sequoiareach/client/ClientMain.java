package org.sequoiareach.client;

/** Starts the program {@code sequoiareach}. */
public final class ClientMain {

  private ClientMain() {}

  /**
   * Runs a command line and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    // The daemon's logging settings may be on the same class path.
    System.setProperty("log4j2.configurationFile", "org/sequoiareach/client/log4j2-client.xml");
    System.exit(new ClientProgram(System.out, System.err).run(args).code());
  }
}
