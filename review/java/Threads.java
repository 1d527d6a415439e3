/** Starts daemon threads that end silently when their connection does. */
final class Threads {

  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (java.io.IOException e) {
                // The other side closed the connection, or the stand-in was closed.
              } catch (Exception e) {
                e.printStackTrace();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
