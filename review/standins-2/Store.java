import java.io.OutputStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as PROTOCOL.md describes it: kinds of objects with revisions, conditional writes, lists in pages
 * and watches that wait. It loses nothing and answers each call.
 */
final class Store {
    private static final int PAGE_BYTES = 1024 * 1024;
    private static final int PAGE_OBJECTS = 500;

    private static final class Change {
        long rev;
        String kind;
        Map<String, Object> object;
        boolean deleted;
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private final ServerSocket listener;
    final String address;

    Store() throws Exception {
        listener = Http.serve(this::handle);
        address = Http.address(listener);
    }

    /** Writes as the operator and the runners do. */
    synchronized void put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> before = kind(kind).get(name);
        if (before != null && spec.equals(before.get("spec"))) return;
        replace(kind, name, spec, before == null ? null : before.get("status"), before);
    }

    /** Writes as another writer does, who may store anything. */
    synchronized void putText(String kind, String name, String spec) {
        replace(kind, name, new Json.Raw(spec), null, kind(kind).get(name));
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> before = kind(kind).remove(name);
        if (before != null) record(kind, before, true);
    }

    synchronized Map<String, Object> spec(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? null : Json.object(object.get("spec"));
    }

    /** The number of results that the system has stored of a job. */
    synchronized int listed(String job) {
        int results = 0;
        for (Map<String, Object> chunk : kind("entryresults").subMap(job + ".", job + "/").values()) {
            results += Json.array(Json.object(chunk.get("spec")).get("results")).size();
        }
        return results;
    }

    synchronized List<String> names(String kind) {
        return new ArrayList<>(kind(kind).keySet());
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, any -> new TreeMap<>());
    }

    private Map<String, Object> replace(String kind, String name, Object spec, Object status,
            Map<String, Object> before) {
        revision++;
        Object created = before == null ? (Object) revision : Json.object(before.get("metadata")).get("created_rev");
        Map<String, Object> object = Json.of(
            "metadata", Json.of("name", name, "rev", revision, "created_rev", created,
                "finalizers", new ArrayList<>(), "deleting", false),
            "spec", spec, "status", status);
        kind(kind).put(name, object);
        record(kind, object, false);
        return object;
    }

    private void record(String kind, Map<String, Object> object, boolean deleted) {
        Change change = new Change();
        if (deleted) revision++;
        change.rev = revision;
        change.kind = kind;
        change.object = object;
        change.deleted = deleted;
        history.add(change);
        notifyAll();
    }

    private static long rev(Map<String, Object> object) {
        return (Long) Json.object(object.get("metadata")).get("rev");
    }

    private boolean handle(Http.Message request, OutputStream out, java.net.Socket socket) throws Exception {
        String[] path = request.path().split("/");
        int[] status = {200};
        Object body = path.length < 3 || !path[1].equals("objects")
            ? null
            : answer(request, path[2], path.length > 3 ? path[3] : null,
                path.length > 4 && path[4].equals("status"), status);
        byte[] bytes = body == null
            ? "{}".getBytes(StandardCharsets.UTF_8)
            : Json.print(body).getBytes(StandardCharsets.UTF_8);
        Http.write(out, "HTTP/1.1 " + status[0] + " X", Map.of("Content-Type", "application/json"), bytes);
        return true;
    }

    private synchronized Object answer(Http.Message request, String kind, String name, boolean ofStatus,
            int[] status) throws InterruptedException {
        Map<String, String> query = request.query();
        switch (request.method()) {
            case "GET":
                if (name != null) {
                    Map<String, Object> found = kind(kind).get(name);
                    if (found == null) status[0] = 404;
                    return found;
                }
                return query.containsKey("watch") ? watch(kind, query) : list(kind, query.get("after"));
            case "POST": {
                Map<String, Object> sent = Json.object(Json.parse(request.text()));
                String created = (String) Json.object(sent.get("metadata")).get("name");
                Map<String, Object> found = kind(kind).get(created);
                if (found != null) {
                    status[0] = 409;
                    return found;
                }
                if (request.body.length > PAGE_BYTES) {
                    status[0] = 413;
                    return null;
                }
                return replace(kind, created, sent.get("spec"), null, null);
            }
            case "PUT": {
                Map<String, Object> found = kind(kind).get(name);
                if (found == null) {
                    status[0] = 404;
                    return null;
                }
                Map<String, Object> sent = Json.object(Json.parse(request.text()));
                Object expected = Json.object(sent.get("metadata")).get("rev");
                if (expected != null && !expected.equals(rev(found))) {
                    status[0] = 409;
                    return found;
                }
                Object spec = ofStatus ? found.get("spec") : sent.get("spec");
                Object itsStatus = ofStatus ? sent.get("status") : found.get("status");
                return replace(kind, name, spec, itsStatus, found);
            }
            case "DELETE": {
                Map<String, Object> found = kind(kind).get(name);
                if (found == null) {
                    status[0] = 404;
                    return null;
                }
                String expected = query.get("rev");
                if (expected != null && Long.parseLong(expected) != rev(found)) {
                    status[0] = 409;
                    return found;
                }
                kind(kind).remove(name);
                record(kind, found, true);
                return found;
            }
            default:
                status[0] = 400;
                return null;
        }
    }

    private Object list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean truncated = false;
        for (Map<String, Object> object : (after == null ? kind(kind) : kind(kind).tailMap(after, false)).values()) {
            int size = Json.print(object).length();
            if (!items.isEmpty() && (bytes + size > PAGE_BYTES || items.size() >= PAGE_OBJECTS)) {
                truncated = true;
                break;
            }
            bytes += size;
            items.add(object);
        }
        return Json.of("items", items, "truncated", truncated, "store_revision", revision);
    }

    private Object watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).rev > from; i--) {
                Change change = history.get(i);
                if (!change.kind.equals(kind)) continue;
                events.add(0, Json.of("object", change.object, "deleted", change.deleted));
            }
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) return Json.of("events", events, "store_revision", revision);
            wait(leftMillis);
        }
    }
}
