import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it: one linear history of objects. */
final class Store implements AutoCloseable {
    /** A write that the store has done. */
    record Write(String method, String kind, String name, Map<String, Object> spec) {}

    private record Change(long rev, String kind, Map<String, Object> document, boolean isDeleted) {}

    private record Answer(int status, Object body) {}

    /** As `provider.value_bytes` of the settings: an object is this large at most. */
    static final int VALUE_BYTES = 1_048_576;

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();

    /** While set, each call is answered 503, which means that nothing was done. */
    private volatile boolean isBusy;

    /** Decides whether a write that has been done gets no answer; its connection then stays silent. */
    volatile Predicate<Write> losesAnswer = write -> false;

    /** Writes that were rejected because the object is too large. */
    volatile int tooLarge;

    /** As on the sheets: an answer of the store takes 4 ms. */
    private static final long ANSWER_MILLIS = 4;

    Store() throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(executor);
        server.createContext("/objects/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void setBusy(boolean busy) {
        synchronized (this) {
            isBusy = busy;
            notifyAll();
        }
    }

    synchronized void put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> before = kind(kind).get(name);
        store(kind, name, spec, before == null ? null : before.get("status"));
    }

    synchronized Map<String, Object> spec(String kind, String name) {
        Map<String, Object> found = kind(kind).get(name);
        return found == null ? null : Json.object(found.get("spec"));
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String[] parts = exchange.getRequestURI().getPath().substring("/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getQuery();
        if (raw != null) for (String part : raw.split("&")) query.put(part.replaceAll("=.*", ""), part.replaceAll("^[^=]*=", ""));
        String name = parts.length > 1 ? parts[1] : null;
        Answer answer;
        try {
            Thread.sleep(ANSWER_MILLIS);
            answer = isBusy ? new Answer(503, Json.of()) : answer(exchange.getRequestMethod(), parts, name, query, body);
        } catch (InterruptedException stopped) {
            exchange.close();
            return;
        } catch (RuntimeException malformed) {
            answer = new Answer(400, Json.of("error", String.valueOf(malformed)));
        }
        if (!exchange.getRequestMethod().equals("GET") && answer.status() == 200) {
            Map<String, Object> document = Json.object(answer.body());
            String written = (String) Json.object(document.get("metadata")).get("name");
            Write write = new Write(exchange.getRequestMethod(), parts[0], written, Json.object(document.get("spec")));
            // A connection on which a response is lost returns nothing further.
            if (losesAnswer.test(write)) return;
        }
        byte[] bytes = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        try {
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException callerLeft) {
            // The caller has closed the connection.
        } finally {
            exchange.close();
        }
    }

    private Answer answer(String method, String[] parts, String name, Map<String, String> query, String body)
        throws InterruptedException {
        String kind = parts[0];
        Map<String, Object> document = body.isEmpty() ? Json.of() : Json.object(Json.parse(body));
        synchronized (this) {
            switch (method) {
                case "GET" -> {
                    if (name != null) {
                        Map<String, Object> found = kind(kind).get(name);
                        return found == null ? new Answer(404, Json.of()) : new Answer(200, found);
                    }
                    return query.containsKey("watch") ? watch(kind, query) : list(kind, query.get("after"));
                }
                case "POST" -> {
                    String created = (String) Json.object(document.get("metadata")).get("name");
                    Map<String, Object> found = kind(kind).get(created);
                    if (found != null) return new Answer(409, found);
                    return write(kind, created, document.get("spec"), null);
                }
                case "PUT" -> {
                    Map<String, Object> found = kind(kind).get(name);
                    if (found == null) return new Answer(404, Json.of());
                    Object expected = Json.object(document.get("metadata")).get("rev");
                    Object actual = Json.object(found.get("metadata")).get("rev");
                    if (expected != null && !expected.equals(actual)) return new Answer(409, found);
                    boolean isStatus = parts.length > 2 && parts[2].equals("status");
                    Object spec = isStatus ? found.get("spec") : document.get("spec");
                    Object status = isStatus ? document.get("status") : found.get("status");
                    if (Json.write(spec).equals(Json.write(found.get("spec")))
                        && Json.write(status).equals(Json.write(found.get("status")))) return new Answer(200, found);
                    return write(kind, name, spec, status);
                }
                case "DELETE" -> {
                    Map<String, Object> found = kind(kind).get(name);
                    if (found == null) return new Answer(404, Json.of());
                    String expected = query.get("rev");
                    Object actual = Json.object(found.get("metadata")).get("rev");
                    if (expected != null && !expected.equals(String.valueOf(actual))) return new Answer(409, found);
                    kind(kind).remove(name);
                    history.add(new Change(++revision, kind, found, true));
                    notifyAll();
                    return new Answer(200, found);
                }
                default -> {
                    return new Answer(405, Json.of());
                }
            }
        }
    }

    private Answer write(String kind, String name, Object spec, Object status) {
        int bytes = Json.write(spec).getBytes(StandardCharsets.UTF_8).length;
        if (bytes > VALUE_BYTES) {
            tooLarge++;
            return new Answer(413, Json.of("error", "the object has " + bytes + " bytes, more than " + VALUE_BYTES));
        }
        return new Answer(200, store(kind, name, spec, status));
    }

    private Map<String, Object> store(String kind, String name, Object spec, Object status) {
        Map<String, Object> before = kind(kind).get(name);
        long rev = ++revision;
        Object created = before == null ? (Object) rev : Json.object(before.get("metadata")).get("created_rev");
        Map<String, Object> document = Json.of(
            "metadata", Json.of("name", name, "rev", rev, "created_rev", created, "finalizers", new ArrayList<>(), "deleting", false),
            "spec", spec,
            "status", status);
        kind(kind).put(name, document);
        history.add(new Change(rev, kind, document, false));
        notifyAll();
        return document;
    }

    private Answer list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean truncated = false;
        for (Map.Entry<String, Map<String, Object>> entry : kind(kind).entrySet()) {
            if (after != null && entry.getKey().compareTo(after) <= 0) continue;
            bytes += Json.write(entry.getValue()).length();
            if (!items.isEmpty() && (items.size() >= 500 || bytes > VALUE_BYTES)) {
                truncated = true;
                break;
            }
            items.add(entry.getValue());
        }
        return new Answer(200, Json.of("items", items, "truncated", truncated, "store_revision", revision));
    }

    private Answer watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            if (isBusy) return new Answer(503, Json.of());
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.rev() > from && change.kind().equals(kind)) {
                    Map<String, Object> event = new LinkedHashMap<>();
                    event.put("deleted", change.isDeleted());
                    event.put("object", change.document());
                    events.add(event);
                }
            }
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) return new Answer(200, Json.of("events", events, "store_revision", revision));
            wait(leftMillis);
        }
    }
}
