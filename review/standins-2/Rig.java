import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment on loopback: the store, runners and entry nodes, with what its clients send. */
final class Rig implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String PREFIX = "/pule252/";
    static final String SERVICE = "huvo11a";

    /** The bounds of the settings. */
    static final long CANCEL_MILLIS = 3_000;
    static final long SETTLE_MILLIS = 1_000;

    final Path folder = Files.createTempDirectory("review");
    final Record record;
    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();

    Rig(Path recordFile) throws Exception {
        record = new Record(recordFile);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        store.put("config", "main", configuration());
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    /** Times as in the sheet of tuftline-dalton: jobs due in 18 s, kept for 60 s. */
    private static Map<String, Object> configuration() {
        return Json.of(
            "version", 7L,
            "routes", List.of(Json.of("name", "r-lot", "host", HOST, "path_prefix", PREFIX, "kind", "batch",
                "timeout_ms", 15_000L, "target_latency_ms", 400L, "priority", 2L, "service", SERVICE,
                "max_attempts", 3L, "anonymous", false, "sticky", true, "completion_target_ms", 18_000L,
                "max_wait_s", 60.0)),
            "services", List.of(Json.of("name", SERVICE, "health_path", "/healthz", "max_connections", 210L,
                "protocol", "h1", "tls", false)),
            "limits", Json.of("max_header_bytes", 16_384L, "max_body_bytes", 4_194_304L,
                "header_timeout_ms", 3_000L, "idle_timeout_ms", 15_000L),
            "tenants", List.of(Json.of("name", "huka270", "api_keys", List.of(KEY), "priority", 1L,
                "rate_per_s", 65L, "burst", 65L)));
    }

    /** Creates a node in each zone. */
    void createNodes(List<String> zones) throws Exception {
        List<String> controls = new ArrayList<>();
        for (int i = 0; i < zones.size(); i++) controls.add(Node.freeAddress());
        for (int i = 0; i < zones.size(); i++) {
            nodes.add(new Node(folder, "frontend-" + zones.get(i) + "-1", zones.get(i), zones, Node.freeAddress(),
                Node.freeAddress(), controls.get(i), null, controls, store.address, record));
        }
    }

    /** Starts a node in each zone and waits until all are ready. */
    void startNodes(List<String> zones) throws Exception {
        createNodes(zones);
        for (Node node : nodes) node.start();
        for (Node node : nodes) node.awaitReady(20_000);
    }

    /** Starts a node in each zone, behind a link to its peer address, and waits until they know each other. */
    List<PeerLink> startLinkedNodes(List<String> zones) throws Exception {
        List<String> names = new ArrayList<>();
        List<PeerLink> links = new ArrayList<>();
        List<String> controls = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (String zone : zones) names.add("frontend-" + zone + "-1");
        for (int i = 0; i < zones.size(); i++) {
            controls.add(Node.freeAddress());
            links.add(new PeerLink(controls.get(i), names));
            seeds.add(links.get(i).address);
        }
        for (int i = 0; i < zones.size(); i++) {
            nodes.add(new Node(folder, names.get(i), zones.get(i), zones, Node.freeAddress(), Node.freeAddress(),
                controls.get(i), seeds.get(i), seeds, store.address, record));
        }
        for (Node node : nodes) node.start();
        for (Node node : nodes) node.awaitReady(20_000);
        pause(8_000);
        return links;
    }

    void endProcesses() {
        nodes.forEach(Node::end);
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        record.close();
        if (System.getenv("KEEP_OUTPUT") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : (Iterable<Path>) files.sorted(Comparator.reverseOrder())::iterator) {
                    Files.delete(file);
                }
            }
        } else {
            System.err.println("output in " + folder);
        }
    }

    /** One item of a job; it has [events] events. */
    static Map<String, Object> item(String id, int events, byte[] body) {
        return Json.of("id", id, "path", PREFIX + "3/" + id,
            "headers", Json.of("X-Model", "m", "X-Token-Usage", "350," + events,
                "X-Prompt-Prefix", "9c2e41:100," + id + ":250"),
            "body", Base64.getEncoder().encodeToString(body), "tokens", 350L + events);
    }

    static String wholeOutput(String item, int events) {
        StringBuilder out = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            if (event > 1) out.append('\n');
            out.append(Runner.data(item, event));
        }
        return out.toString();
    }

    private static Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Credential", KEY);
        return headers;
    }

    /** Hands a job in; returns the status, or 0 if there was no answer. */
    int submit(Node node, String job, List<Object> items) {
        Map<String, String> headers = headers();
        headers.put("X-Request-Id", job);
        headers.put("Content-Type", "application/json");
        byte[] body = Json.print(Json.of("items", items)).getBytes(StandardCharsets.UTF_8);
        int status = status(node, "POST", PREFIX + job, headers, body);
        record.add("submit job=%s node=%s items=%d bytes=%d answer=%d", job, node.name, items.size(), body.length,
            status);
        return status;
    }

    /** Ends a job; returns the status, or 0 if there was no answer. */
    int end(Node node, String job) {
        int status = status(node, "DELETE", "/lots/" + job, headers(), null);
        record.add("end job=%s node=%s answer=%d", job, node.name, status);
        return status;
    }

    private int status(Node node, String method, String target, Map<String, String> headers, byte[] body) {
        try {
            return Http.call(node.front, method, target, headers, body, 5_500).status();
        } catch (IOException noAnswer) {
            return 0;
        }
    }

    /** An answer to a read of results; the status is 0 if there was none. */
    static final class Page {
        int status;
        long sentMillis;
        long answeredMillis;
        List<String> items = new ArrayList<>();
        List<String> states = new ArrayList<>();
        List<String> outputs = new ArrayList<>();
    }

    Page read(Node node, String job, int after, int waitMillis) {
        Map<String, String> headers = headers();
        if (waitMillis > 0) headers.put("X-Wait-Ms", Integer.toString(waitMillis));
        Page page = new Page();
        page.sentMillis = record.millis();
        try {
            Http.Message answer =
                Http.call(node.front, "GET", "/lots/" + job + "?after=" + after, headers, null, waitMillis + 3_000);
            page.status = answer.status();
            if (page.status == 200) {
                for (Object result : Json.array(Json.object(Json.parse(answer.text())).get("results"))) {
                    page.items.add((String) Json.object(result).get("id"));
                    page.states.add((String) Json.object(result).get("state"));
                    page.outputs.add((String) Json.object(result).get("output"));
                }
            }
        } catch (IOException noAnswer) {
            page.status = 0;
        }
        page.answeredMillis = record.millis();
        record.add("read job=%s node=%s after=%d sent=%d answer=%d results=%s", job, node.name, after,
            page.sentMillis, page.status, page.items);
        return page;
    }
}
