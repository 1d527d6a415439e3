import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Runs a case and ends with the exit code that its run.sh returns. */
abstract class Case {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** The time after which a case is given up; it may run for 120 seconds. */
  private static final long TIMEOUT_MS = 110_000;

  final Recorder recorder;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path temporary;
  private final Deque<AutoCloseable> opened = new ArrayDeque<>();

  Case(Path folder) throws Exception {
    recorder = new Recorder(folder);
    temporary = Files.createTempDirectory("review");
  }

  /** Plays the case and returns whether the rule held. */
  abstract boolean holds() throws Exception;

  final void runAndExit() {
    Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
    Threads.start(
        () -> {
          Thread.sleep(TIMEOUT_MS);
          recorder.log("the case did not end in time");
          exit(NOT_RUN);
        });
    int exit = NOT_RUN;
    try {
      exit = holds() ? HELD : BROKEN;
      recorder.log("the rule %s", exit == HELD ? "held" : "WAS BROKEN");
    } catch (Throwable e) {
      recorder.log("the case could not run: %s", e);
      e.printStackTrace();
    }
    exit(exit);
  }

  private void exit(int exit) {
    closeAll();
    deleteTemporary();
    Runtime.getRuntime().halt(exit);
  }

  private synchronized void closeAll() {
    while (!opened.isEmpty()) {
      try {
        opened.pop().close();
      } catch (Exception e) {
        e.printStackTrace();
      }
    }
  }

  synchronized <T extends AutoCloseable> T open(T resource) {
    opened.push(resource);
    return resource;
  }

  /** Starts gateways that know each other and the store. */
  List<GatewayProcess> startGateways(int count, StoreStandin store, int servers) throws Exception {
    List<GatewayProcess> gateways = new java.util.ArrayList<>();
    for (int i = 1; i <= count; i++) {
      gateways.add(open(new GatewayProcess("edge-" + i, temporary)));
    }
    List<String> seeds = gateways.stream().limit(3).map(g -> g.peerAddress).toList();
    for (GatewayProcess gateway : gateways) {
      gateway.start(store.address(), seeds);
    }
    for (GatewayProcess gateway : gateways) {
      gateway.awaitReady(servers);
    }
    recorder.log("%d gateways are ready", count);
    return gateways;
  }

  private void deleteTemporary() {
    boolean keep = System.getenv("KEEP_LOGS") != null;
    if (keep) {
      System.err.println("logs are in " + temporary);
      return;
    }
    try (var files = Files.walk(temporary)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (java.io.IOException e) {
      e.printStackTrace();
    }
  }
}
