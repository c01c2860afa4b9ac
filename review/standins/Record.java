import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with seconds since the start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void line(String format, Object... arguments) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.printf(Locale.ROOT, "%8.3f  %s%n", seconds, String.format(Locale.ROOT, format, arguments));
  }

  /** Writes a line to the record and to standard output. */
  synchronized void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
