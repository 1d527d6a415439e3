package review2;

/** The store loses one answer to a watch; seconds later, with the store stable, a server leaves. */
final class WatchCase implements Main.Case {

  private static final long CONTACT_WINDOW_MS = 3_000;
  private static final long DRAIN_MS = 2_000;

  /** The server goes on for so long after DrainMs. */
  private static final long LINGER_MS = 1_500;

  @Override
  public int run(Deployment deployment) throws Exception {
    final Desk first = new Desk(deployment, "i-desk-1", 80);
    final Desk second = new Desk(deployment, "i-desk-2", 80);
    final Desk third = new Desk(deployment, "i-desk-3", 80);
    deployment.startGateway();
    Bookings bookings = new Bookings(deployment, 8, 16_000);
    Thread.sleep(5_000);
    // A server's entry changes, and another one's while the store loses answers.
    second.register("available");
    Thread.sleep(100);
    if (deployment.trouble) {
      deployment.store.loseWatchAnswers("servers/");
      deployment.note("the store loses answers");
    }
    third.register("available");
    Thread.sleep(300);
    deployment.store.loseWatchAnswers("");
    deployment.note("the store is sound again; answers lost: " + deployment.store.lostAnswers());
    Thread.sleep(CONTACT_WINDOW_MS + 300);
    first.drain(DRAIN_MS);
    Thread.sleep(DRAIN_MS + LINGER_MS);
    int cut = first.exit();
    bookings.join();
    deployment.noteEnd();
    deployment.note(
        "requests that reached the leaving server later than DrainMs after the acknowledgement="
            + first.lateRuns
            + "; requests that it was working on as it left="
            + cut
            + "; bookings answered="
            + bookings.answered
            + " failed="
            + bookings.failed);
    if (bookings.answered.get() < 100) {
      return 2;
    }
    return first.lateRuns.get() > 0 ? 1 : 0;
  }
}
