package review2;

/** Runs one case; a case that cannot run ends with status 2. */
public final class Main {

  private static final long MAX_RUN_MS = 110_000;

  /** A case: returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  interface Case {
    int run(Deployment deployment) throws Exception;
  }

  private Main() {}

  public static void main(String[] args) {
    Http.daemon("time limit", Main::endLate);
    try {
      Case chosen =
          switch (args[0]) {
            case "stop" -> new StopCase();
            case "heap" -> new HeapCase();
            case "report" -> new ReportCase();
            case "flood" -> new FloodCase();
            case "watch" -> new WatchCase();
            case "path" -> new PathCase();
            case "deadly" -> new DeadlyCase();
            default -> throw new IllegalArgumentException(args[0]);
          };
      Deployment deployment = new Deployment();
      int status = chosen.run(deployment);
      deployment.note(
          switch (status) {
            case 0 -> "the rule held";
            case 1 -> "the rule was broken";
            default -> "the case could not run";
          });
      System.exit(status);
    } catch (Exception e) {
      e.printStackTrace();
      System.exit(2);
    }
  }

  private static void endLate() {
    try {
      Thread.sleep(MAX_RUN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    System.err.println("the case took too long");
    System.exit(2);
  }
}
