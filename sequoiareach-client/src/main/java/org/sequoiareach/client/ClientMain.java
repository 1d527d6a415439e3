package org.sequoiareach.client;

/** Entry point of the operator command line {@code sequoiareach}. */
public final class ClientMain {

  private ClientMain() {}

  /**
   * Runs a command line and exits with its exit code.
   *
   * @param args the command line arguments
   */
  public static void main(String[] args) {
    // Named explicitly because the daemon's logging configuration may be on the same class path.
    System.setProperty("log4j2.configurationFile", "org/sequoiareach/client/log4j2-client.xml");
    System.exit(new ClientProgram(System.out, System.err).run(args).code());
  }
}
