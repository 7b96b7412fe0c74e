import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a case, with seconds since its start. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path path) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(path));
    }

    double elapsed() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    String seconds() {
        return String.format(Locale.ROOT, "%.3f", elapsed());
    }

    synchronized void line(String text) {
        out.println(seconds() + " " + text);
        out.flush();
    }

    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
