import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A sound runner: 8 slots, a queue of 24, streams that resume at Last-Event-Id, an entry in the store. */
final class RunnerStandIn implements AutoCloseable {
    /** A header of a request that names the number of its events, which differs between the items of a case. */
    static final String EVENTS_HEADER = "x-events";
    private static final int SLOTS = 8;
    private static final int QUEUE = 24;
    private static final long CRASH_MILLIS = 3_000;

    private final StoreStandIn store;
    private final String id;
    private final String zone;
    private final int events;
    private final int eventMillis;
    private volatile ServerSocket listener;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final Semaphore places = new Semaphore(SLOTS + QUEUE);
    private volatile long born = System.currentTimeMillis();
    private volatile boolean down;

    /** The part of a prompt on which this runner crashes as it begins to write an answer; null for none. */
    volatile String crashPart;
    /** Whether the first event of the answer is out when the runner crashes. */
    volatile boolean crashesAfterEvent;
    /** Called with the id of each request with {@link #crashPart} that reaches this runner. */
    volatile Consumer<String> onCrashPart = it -> { };
    /** How often each request id has begun to run here. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    /** Called with each request that begins to run. */
    volatile Consumer<String> onRun = it -> { };
    private final AtomicInteger running = new AtomicInteger();
    private volatile long lastRunNanos = System.nanoTime();
    private volatile boolean closed;

    RunnerStandIn(StoreStandIn store, String id, String zone, int events, int eventMillis) throws IOException {
        this.store = store;
        this.id = id;
        this.zone = zone;
        this.events = events;
        this.eventMillis = eventMillis;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        executor.submit(this::accept);
        executor.submit(this::beat);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        executor.shutdownNow();
    }

    /** For how long this runner has run nothing; 0 while it runs something. */
    double idleSeconds() {
        return running.get() > 0 ? 0 : (System.nanoTime() - lastRunNanos) / 1e9;
    }

    private void beat() {
        for (int sequence = 1; !closed; sequence++) {
            if (!down) store.put("servers", id, "{\"service\":\"engines\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + SLOTS
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}");
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private void accept() {
        ServerSocket current = listener;
        while (!closed) {
            try {
                Socket socket = current.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                executor.submit(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    /** Ends all connections, as the end of the process would, and starts again after {@code millis}. */
    private synchronized void crash(long millis) throws IOException, InterruptedException {
        if (down) return;
        down = true;
        listener.close();
        for (Socket socket : sockets) socket.close();
        sockets.clear();
        executor.submit(() -> {
            Thread.sleep(millis);
            born = System.currentTimeMillis();
            ServerSocket again = new ServerSocket();
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress("127.0.0.1", port), 256);
            listener = again;
            down = false;
            accept();
            return null;
        });
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setSoTimeout(10_000);
            InputStream input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            OutputStream output = socket.getOutputStream();
            while (!closed) {
                String first = line(input);
                if (first == null) return;
                Map<String, String> headers = new HashMap<>();
                for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
                }
                input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                answer(headers, output);
            }
        } catch (IOException | InterruptedException ended) {
            // The other side has closed the connection, which ends the run.
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Map<String, String> headers, OutputStream output) throws IOException, InterruptedException {
        String request = headers.getOrDefault("x-request-id", "");
        String echo = "X-Request-Id: " + request + "\r\nKeep-Alive: timeout=10\r\n";
        if (!headers.getOrDefault("x-expect-instance", id).equals(id)) {
            send(output, "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Instance-Id: " + id
                + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (!places.tryAcquire()) {
            send(output, "HTTP/1.1 503 Service Unavailable\r\n" + echo + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        try {
            slots.acquire();
            try {
                runs.merge(request, 1, Integer::sum);
                running.incrementAndGet();
                onRun.accept(request + " at " + id + " after event " + headers.getOrDefault("last-event-id", "0"));
                try {
                    run(headers, echo, output);
                } finally {
                    running.decrementAndGet();
                    lastRunNanos = System.nanoTime();
                }
            } finally {
                slots.release();
            }
        } finally {
            places.release();
        }
    }

    private void run(Map<String, String> headers, String echo, OutputStream output)
        throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(20);
        String part = crashPart;
        boolean isHarmful = part != null && headers.getOrDefault("x-prompt-prefix", "").contains(part);
        if (isHarmful) onCrashPart.accept(headers.get("x-request-id"));
        if (isHarmful && !crashesAfterEvent) {
            crash(CRASH_MILLIS);
            throw new IOException("crashed");
        }
        send(output, "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Stamp: stamp-" + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        int last = Integer.parseInt(headers.getOrDefault("last-event-id", "0"));
        int count = headers.containsKey(EVENTS_HEADER) ? Integer.parseInt(headers.get(EVENTS_HEADER)) : events;
        for (int event = last + 1; event <= count; event++) {
            TimeUnit.MILLISECONDS.sleep(eventMillis);
            String text = "id: " + event + "\ndata: " + data(event) + "\n\n";
            send(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            if (isHarmful) {
                TimeUnit.MILLISECONDS.sleep(5);
                crash(CRASH_MILLIS);
                throw new IOException("crashed");
            }
        }
        send(output, "0\r\n\r\n");
    }

    static String data(int event) {
        return "piece " + event;
    }

    /** The whole output of an item. */
    static String output(int events) {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= events; event++) text.append(event > 1 ? "\n" : "").append(data(event));
        return text.toString();
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
