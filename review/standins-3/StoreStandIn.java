import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store: objects with revisions, conditional writes, paged lists and watches; 4 ms an answer. */
final class StoreStandIn implements AutoCloseable {
    private static final int MAX_VALUE_BYTES = 1_048_576;
    private static final int MAX_PAGE_OBJECTS = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;
    private static final long ANSWER_MILLIS = 4;

    private record Stored(String name, long rev, long createdRev, String spec, String status) {
        String document() {
            return "{\"metadata\":{\"name\":" + Json.quote(name) + ",\"rev\":" + rev + ",\"created_rev\":" + createdRev
                + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":" + status + "}";
        }
    }

    private record Change(long rev, String kind, Stored stored, boolean deleted) {
    }

    private record Answer(int status, String body) {
    }

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpServer server;
    private long revision = 1;

    StoreStandIn() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
        server.setExecutor(executor);
        server.createContext("/objects/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object like the operator or a server. */
    synchronized void put(String kind, String name, String spec) {
        Stored before = objects(kind).get(name);
        if (before != null && before.spec.equals(spec)) return;
        store(kind, name, spec, before == null ? "null" : before.status);
    }

    synchronized void remove(String kind, String name) {
        delete(kind, name);
    }

    synchronized int count(String kind) {
        return objects(kind).size();
    }

    synchronized long bytes(String kind) {
        return objects(kind).values().stream().mapToLong(it -> it.spec.length()).sum();
    }

    synchronized List<String> specs(String kind) {
        return objects(kind).values().stream().map(Stored::spec).toList();
    }

    synchronized String spec(String kind, String name) {
        Stored stored = objects(kind).get(name);
        return stored == null ? null : stored.spec;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private TreeMap<String, Stored> objects(String kind) {
        return kinds.computeIfAbsent(kind, it -> new TreeMap<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Thread.sleep(ANSWER_MILLIS);
            Answer answer = bytes.length > MAX_VALUE_BYTES + 4096
                ? new Answer(413, "{}")
                : answer(exchange, new String(bytes, StandardCharsets.UTF_8));
            byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, body.length);
            exchange.getResponseBody().write(body);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException malformed) {
            exchange.sendResponseHeaders(400, -1);
        } finally {
            exchange.close();
        }
    }

    private Answer answer(HttpExchange exchange, String body) throws InterruptedException {
        String[] parts = exchange.getRequestURI().getRawPath().substring("/objects/".length()).split("/");
        String kind = decode(parts[0]);
        String name = parts.length > 1 ? decode(parts[1]) : null;
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        return switch (exchange.getRequestMethod()) {
            case "GET" -> {
                if (name != null) yield get(kind, name);
                if (query.containsKey("watch")) {
                    yield watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                }
                yield page(kind, query.get("after"));
            }
            case "POST" -> create(kind, Json.members(body));
            case "PUT" -> replace(kind, name, parts.length > 2, Json.members(body));
            case "DELETE" -> deleteIf(kind, name, query.get("rev"));
            default -> new Answer(405, "{}");
        };
    }

    private synchronized Answer get(String kind, String name) {
        Stored stored = objects(kind).get(name);
        return stored == null ? new Answer(404, "{}") : new Answer(200, stored.document());
    }

    /** About 500 objects or 1 MB at most, but one at least. */
    private synchronized Answer page(String kind, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        for (Stored stored : (after == null ? objects(kind) : objects(kind).tailMap(after, false)).values()) {
            String document = stored.document();
            if (count > 0 && (count >= MAX_PAGE_OBJECTS || items.length() + document.length() > MAX_PAGE_BYTES)) {
                truncated = true;
                break;
            }
            if (count++ > 0) items.append(',');
            items.append(document);
        }
        return new Answer(
            200,
            "{\"items\":[" + items + "],\"truncated\":" + truncated + ",\"store_revision\":" + revision + "}");
    }

    private synchronized Answer watch(String kind, long from, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Change change : history) {
                if (change.rev <= from || !change.kind.equals(kind)) continue;
                if (events.length() > 0) events.append(',');
                events.append("{\"deleted\":").append(change.deleted).append(",\"object\":")
                    .append(change.stored.document()).append('}');
            }
            long leftMillis = (until - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || leftMillis <= 0) {
                return new Answer(200, "{\"events\":[" + events + "],\"store_revision\":" + revision + "}");
            }
            wait(leftMillis);
        }
    }

    private synchronized Answer create(String kind, Map<String, String> body) {
        String name = Json.string(Json.members(body.get("metadata")).get("name"));
        Stored existing = objects(kind).get(name);
        if (existing != null) return new Answer(409, existing.document());
        return new Answer(200, store(kind, name, body.getOrDefault("spec", "null"), "null").document());
    }

    private synchronized Answer replace(String kind, String name, boolean isStatus, Map<String, String> body) {
        Stored before = objects(kind).get(name);
        if (before == null) return new Answer(404, "{}");
        String metadata = body.get("metadata");
        String rev = metadata == null ? null : Json.members(metadata).get("rev");
        if (rev != null && Long.parseLong(rev) != before.rev) return new Answer(409, before.document());
        String spec = isStatus ? before.spec : body.getOrDefault("spec", "null");
        String status = isStatus ? body.getOrDefault("status", "null") : before.status;
        if (spec.equals(before.spec) && status.equals(before.status)) return new Answer(200, before.document());
        return new Answer(200, store(kind, name, spec, status).document());
    }

    private synchronized Answer deleteIf(String kind, String name, String rev) {
        Stored before = objects(kind).get(name);
        if (before == null) return new Answer(404, "{}");
        if (rev != null && Long.parseLong(rev) != before.rev) return new Answer(409, before.document());
        delete(kind, name);
        return new Answer(200, before.document());
    }

    private Stored store(String kind, String name, String spec, String status) {
        Stored before = objects(kind).get(name);
        long rev = ++revision;
        Stored stored = new Stored(name, rev, before == null ? rev : before.createdRev, spec, status);
        objects(kind).put(name, stored);
        // Nobody watches these kinds, and they are large.
        if (!kind.equals("entryjobs") && !kind.equals("entryresults")) history.add(new Change(rev, kind, stored, false));
        notifyAll();
        return stored;
    }

    private void delete(String kind, String name) {
        Stored last = objects(kind).remove(name);
        if (last == null) return;
        history.add(new Change(++revision, kind, last, true));
        notifyAll();
    }

    private static String decode(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw == null) return query;
        for (String part : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) query.put(part.substring(0, equals), decode(part.substring(equals + 1)));
        }
        return query;
    }
}
