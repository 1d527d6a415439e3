import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt}, with the time in milliseconds. */
final class Recorder {

  private static final double NANOS_PER_MS = 1e6;

  private final long startNs = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path folder) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double nowMs() {
    return (System.nanoTime() - startNs) / NANOS_PER_MS;
  }

  synchronized void log(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    out.printf(Locale.ROOT, "%9.1f ms  %s%n", nowMs(), text);
    out.flush();
  }
}
