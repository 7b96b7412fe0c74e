import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model runner as PROTOCOL.md describes it: it checks the instance that a request expects, runs eight requests at
 * once, queues a few more and rejects the rest, sends numbered events in chunks, resumes after `Last-Event-Id`, and
 * drops a request whose connection closes. It registers itself in the store and writes there again every 1.2 s.
 */
final class Runner {
    static final int SLOTS = 8;
    private static final int QUEUE = 24;

    private final String id;
    private final long eventMillis;
    private final Record record;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger present = new AtomicInteger();
    private final ServerSocket listener;

    Runner(Store store, String id, String service, String zone, long eventMillis, Record record) throws Exception {
        this.id = id;
        this.eventMillis = eventMillis;
        this.record = record;
        listener = Http.serve(this::handle);
        long born = System.currentTimeMillis();
        Http.daemon(() -> {
            for (long sequence = 1; ; sequence++) {
                store.put("servers", id, Json.of("service", service, "address", Http.address(listener), "zone", zone,
                    "version", "v1", "slots", (long) SLOTS, "state", "ready", "cold_remaining_ms", 0L,
                    "sequence", sequence, "born", born));
                Rig.pause(1_200);
            }
        });
    }

    /** The data of an event, by which a reader knows that a text is whole. */
    static String data(String request, long event) {
        return request + "." + event;
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String requestId = request.headers.get("X-Request-Id");
        String expected = request.headers.get("X-Expect-Instance");
        if (request.path().equals("/healthz")) {
            Http.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        if (expected != null && !expected.equals(id)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request",
                Map.of("X-Instance-Id", id, "X-Request-Id", requestId == null ? "" : requestId), new byte[0]);
            return true;
        }
        if (requestId == null) {
            Http.write(out, "HTTP/1.1 400 Bad Request", Map.of("X-Not-Executed", "1"), new byte[0]);
            return true;
        }
        record.add("arrives item=%s runner=%s tenant=%s after_event=%s", requestId, id,
            request.headers.get("X-Tenant"), request.headers.get("Last-Event-Id"));
        long arrivedMillis = record.millis();
        if (present.incrementAndGet() > SLOTS + QUEUE) {
            present.decrementAndGet();
            reject(out, requestId);
            return true;
        }
        try {
            long deadline = System.nanoTime()
                + (long) (Double.parseDouble(request.headers.getOrDefault("X-Deadline-Ms", "60000")) * 1_000_000);
            if (!slots.tryAcquire(deadline - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                reject(out, requestId);
                return true;
            }
            try {
                return run(request, requestId, arrivedMillis, deadline, out);
            } finally {
                slots.release();
            }
        } finally {
            present.decrementAndGet();
        }
    }

    private void reject(OutputStream out, String requestId) throws IOException {
        record.add("rejected item=%s runner=%s", requestId, id);
        Http.write(out, "HTTP/1.1 503 Service Unavailable",
            Map.of("X-Not-Executed", "1", "X-Request-Id", requestId), new byte[0]);
    }

    private boolean run(Http.Message request, String requestId, long arrivedMillis, long deadline, OutputStream out)
            throws IOException {
        long events = Long.parseLong(request.headers.getOrDefault("X-Token-Usage", "100,20").split(",")[1]);
        long after = Long.parseLong(request.headers.getOrDefault("Last-Event-Id", "0"));
        record.started(requestId, id, arrivedMillis);
        try {
            Rig.pause(eventMillis);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Request-Id", requestId);
            headers.put("X-Server-Stamp", "stamp-" + id);
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            Http.write(out, "HTTP/1.1 200 OK", headers, null);
            for (long event = after + 1; event <= events; event++) {
                if (System.nanoTime() > deadline) throw new IOException("the time limit has passed");
                byte[] bytes = ("id: " + event + "\ndata: " + data(requestId, event) + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.UTF_8));
                out.flush();
                if (event < events) Rig.pause(eventMillis);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
            record.add("finished item=%s runner=%s", requestId, id);
            return true;
        } catch (IOException dropped) {
            record.add("dropped item=%s runner=%s", requestId, id);
            throw dropped;
        }
    }
}
