package org.sequoiareach.daemon;

import java.io.IOException;
import java.nio.file.Path;
import org.apache.logging.log4j.LogManager;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.sequoiareach.daemon.settings.DaemonSettings;
import org.sequoiareach.daemon.settings.DaemonSettingsReader;
import org.sequoiareach.model.json.InvalidDocumentException;

/** The main class of the daemon {@code sequoiareachd}. */
public final class DaemonMain {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Option(name = "--settings", metaVar = "FILE", usage = "the settings file (JSON)")
  private Path settingsFile;

  @Option(name = "--check-settings", usage = "check the settings file and exit")
  private boolean checkOnly;

  @Option(name = "--help", help = true, usage = "print this help and exit")
  private boolean help;

  @Option(name = "--version", help = true, usage = "print the version and exit")
  private boolean version;

  private DaemonMain() {}

  /**
   * Runs the program. The exit code is 0 after a planned stop, 1 after a failure and 2 for invalid
   * arguments.
   *
   * @param args the command line arguments
   */
  public static void main(String[] args) {
    System.exit(new DaemonMain().run(args));
  }

  private int run(String[] args) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      return EXIT_USAGE;
    }
    if (help) {
      System.out.println("sequoiareachd --settings FILE [--check-settings]");
      parser.printUsage(System.out);
      return 0;
    }
    if (version) {
      System.out.println("sequoiareachd " + ProgramVersion.VERSION);
      return 0;
    }
    if (settingsFile == null) {
      System.err.println("--settings FILE is required; see --help");
      return EXIT_USAGE;
    }
    return start();
  }

  private int start() {
    DaemonSettings settings;
    try {
      settings = DaemonSettingsReader.read(settingsFile);
    } catch (IOException e) {
      System.err.println("The settings file " + settingsFile + " cannot be read: " + e);
      return EXIT_FAILED;
    } catch (InvalidDocumentException e) {
      System.err.println("The settings file " + settingsFile + " is invalid:\n" + e.getMessage());
      return EXIT_FAILED;
    }
    if (checkOnly) {
      System.out.println("The settings file " + settingsFile + " is valid.");
      return 0;
    }
    return serve(settings);
  }

  private static int serve(DaemonSettings settings) {
    Daemon daemon;
    try {
      daemon = Daemon.start(settings);
    } catch (RuntimeException e) {
      System.err.println("The daemon cannot start: " + e.getMessage());
      // Threads of components that have already started would keep the process alive.
      Runtime.getRuntime().halt(EXIT_FAILED);
      return EXIT_FAILED;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
    try {
      daemon.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 0;
  }

  /** Stops the daemon on SIGTERM. Keeps the process alive until no request is in progress. */
  private static void stop(Daemon daemon) {
    try {
      daemon.drain();
      daemon.awaitStop();
      daemon.close();
      LogManager.shutdown();
      // Otherwise the exit code would report the signal although the stop was planned.
      Runtime.getRuntime().halt(0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
