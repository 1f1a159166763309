import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with seconds since the start. */
final class Record {
  private static final long START = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static double seconds() {
    return (System.nanoTime() - START) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    String line = String.format(Locale.ROOT, "%8.3f %s", seconds(), text);
    out.println(line);
  }
}
