import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, each line with the seconds since the start. */
final class Journal {
  static final long START = System.nanoTime();
  private final PrintWriter out;

  Journal(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  synchronized void line(String format, Object... words) {
    out.printf("%8.3f  %s%n", now(), String.format(format, words));
  }
}
