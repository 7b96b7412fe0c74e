import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the time in milliseconds since the start; written to `record.txt`. */
final class Record implements AutoCloseable {
    static final class Start {
        final String item;
        final String runner;
        final long arrivedMillis;

        Start(String item, String runner, long arrivedMillis) {
            this.item = item;
            this.runner = runner;
            this.arrivedMillis = arrivedMillis;
        }
    }

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final List<Start> starts = new ArrayList<>();

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String format, Object... arguments) {
        out.printf("%8d ", millis());
        out.printf(format, arguments);
        out.println();
        out.flush();
    }

    /** Records that a runner begins to work on a request that reached it at [arrivedMillis]. */
    synchronized void started(String item, String runner, long arrivedMillis) {
        starts.add(new Start(item, runner, arrivedMillis));
        add("runs item=%s runner=%s", item, runner);
    }

    synchronized List<Start> starts() {
        return new ArrayList<>(starts);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
