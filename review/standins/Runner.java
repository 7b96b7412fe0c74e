import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Stand-in of a sound model runner, as PROTOCOL.md describes it: streams of events with increasing ids. */
final class Runner implements AutoCloseable {
    /** A request that this runner began to work on. */
    static final class Run {
        final String item;
        final String runner;
        final long startMillis;
        final int after;
        volatile long endMillis;
        volatile int lastEvent;
        volatile boolean isComplete;

        Run(String item, String runner, long startMillis, int after) {
            this.item = item;
            this.runner = runner;
            this.startMillis = startMillis;
            this.after = after;
        }
    }

    static final int SLOTS = 8;
    private static final int QUEUE = 24;

    /** An item whose next run gets a body without end: events that go on until the caller closes the connection. */
    volatile String endlessItem;

    /** Bytes that were sent of such a body. */
    volatile long endlessBytes;

    final String id;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final int events;
    private final int eventBytes;
    private final long gapMillis;
    private final ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Semaphore slots;
    private final int slotCount;

    Runner(String id, int slotCount, int events, int eventBytes, long gapMillis) throws IOException {
        this.id = id;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.events = events;
        this.eventBytes = eventBytes;
        this.gapMillis = gapMillis;
        executor.execute(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    executor.execute(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    /** The entry that the runner writes into the platform's store. */
    Map<String, Object> entry(String service, String zone) {
        return Json.of("service", service, "address", "127.0.0.1:" + listener.getLocalPort(), "zone", zone,
            "version", "v1", "slots", slotCount, "state", "ready", "cold_remaining_ms", 0, "stage", "both", "sequence", 4);
    }

    int busySlots() {
        return slotCount - slots.availablePermits();
    }

    int slotCount() {
        return slotCount;
    }

    /** The data of an event of an item. */
    String data(String item, int event) {
        StringBuilder data = new StringBuilder(item + " " + event + " ");
        while (data.length() < eventBytes) data.append((char) ('a' + (event + data.length()) % 26));
        return data.toString();
    }

    /** The whole output of an item. */
    String output(String item) {
        StringBuilder output = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            if (event > 1) output.append('\n');
            output.append(data(item, event));
        }
        return output.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        executor.shutdownNow();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            PushbackInputStream input = new PushbackInputStream(socket.getInputStream());
            while (request(socket, input, socket.getOutputStream())) { }
        } catch (IOException | InterruptedException left) {
            // The caller has left, or this runner ends.
        }
    }

    private boolean request(Socket socket, PushbackInputStream input, OutputStream output)
        throws IOException, InterruptedException {
        socket.setSoTimeout(0);
        String first = line(input);
        if (first == null) return false;
        Map<String, String> headers = new HashMap<>();
        for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
            headers.put(line.substring(0, line.indexOf(':')).toLowerCase(), line.substring(line.indexOf(':') + 1).trim());
        }
        input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String request = headers.getOrDefault("x-request-id", "");
        String echo = "X-Request-Id: " + request + "\r\n";
        if (first.startsWith("GET ")) {
            send(output, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (!headers.getOrDefault("x-expect-instance", id).equals(id)) {
            send(output, "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (slots.getQueueLength() >= QUEUE) {
            send(output, "HTTP/1.1 503 Service Unavailable\r\n" + echo + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        while (!slots.tryAcquire(20, TimeUnit.MILLISECONDS)) if (hasLeft(socket, input)) return false;
        try {
            return run(socket, input, output, request, echo, Integer.parseInt(headers.getOrDefault("last-event-id", "0")));
        } finally {
            slots.release();
        }
    }

    private boolean run(Socket socket, PushbackInputStream input, OutputStream output, String item, String echo, int after)
        throws IOException, InterruptedException {
        if (hasLeft(socket, input)) return false;
        Run run = new Run(item, id, Rig.nowMillis(), after);
        run.lastEvent = after;
        runs.add(run);
        try {
            send(output, "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Stamp: stamp." + id + "\r\nX-Weight-Versions: 1\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = after + 1; event <= events; event++) {
                Thread.sleep(gapMillis);
                if (hasLeft(socket, input)) return false;
                String text = "id: " + event + "\ndata: " + data(item, event) + "\n\n";
                send(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                run.lastEvent = event;
                if (item.equals(endlessItem)) sendWithoutEnd(output, event);
            }
            send(output, "0\r\n\r\n");
            run.isComplete = true;
            return true;
        } finally {
            run.endMillis = Rig.nowMillis();
        }
    }

    /** Ends only when the caller has closed the connection. */
    private void sendWithoutEnd(OutputStream output, int after) throws IOException {
        endlessItem = null;
        for (int event = after + 1; ; event++) {
            String text = "id: " + event + "\ndata: " + "z".repeat(8_000) + "\n\n";
            send(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            endlessBytes += text.length();
        }
    }

    /** Whether the caller has closed the connection; a runner drops the request then. */
    private static boolean hasLeft(Socket socket, PushbackInputStream input) throws IOException {
        socket.setSoTimeout(1);
        try {
            int next = input.read();
            if (next < 0) return true;
            input.unread(next);
            return false;
        } catch (SocketTimeoutException silent) {
            return false;
        }
    }

    private static void send(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }
}
