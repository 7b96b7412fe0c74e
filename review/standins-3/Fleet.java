import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: a store, runners and entry nodes in three zones, and the configuration of two tenants. */
final class Fleet implements AutoCloseable {
    static final List<String> ZONES = List.of("dalton", "calhoun", "chatsworth");
    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String OTHER_KEY = "s989anu6wsjnbanfqasn";
    static final int EVENTS = 20;

    final Recorder record;
    final Path folder;
    final StoreStandIn store;
    final List<RunnerStandIn> runners = new ArrayList<>();
    final List<Node> nodes;

    Fleet(Recorder record, int nodeCount, int runnerCount, int eventMillis) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-3");
        store = new StoreStandIn();
        store.put("config", "main", configuration(1));
        for (int i = 0; i < runnerCount; i++) {
            runners.add(new RunnerStandIn(store, "i-" + (i + 1), ZONES.get(i % ZONES.size()), EVENTS, eventMillis));
        }
        for (RunnerStandIn runner : runners) runner.onRun = text -> record.line("run " + text);
        nodes = Node.startAll(nodeCount, ZONES, store.address(), folder, record);
        // Also if the case takes too long and is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::close)));
    }

    private static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-lot\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/pule252/\",\"kind\":\"batch\","
            + "\"timeout_ms\":15000,\"target_latency_ms\":400,\"completion_target_ms\":18000,\"max_wait_s\":60,"
            + "\"priority\":2,\"service\":\"engines\",\"max_attempts\":3,\"anonymous\":false},"
            + "{\"name\":\"r-ask\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/lohu930/\",\"kind\":\"streaming\","
            + "\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"engines\","
            + "\"max_attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":250}],"
            + "\"services\":[{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_connections\":210,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"" + KEY + "\"],\"rate_per_s\":0,\"burst\":0},"
            + "{\"name\":\"lego310\",\"api_keys\":[\"" + OTHER_KEY + "\"],\"rate_per_s\":0,\"burst\":0}]}";
    }

    /** False if the nodes are not ready in time. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < until) {
            if (nodes.stream().allMatch(Fleet::isReady)) return true;
            Thread.sleep(200);
        }
        return false;
    }

    static boolean isReady(Node node) {
        try {
            return Call.send(node.ready, "GET", "/readyz", java.util.Map.of("Host", "ready"), new byte[0], 1_000)
                .status == 200;
        } catch (IOException unreachable) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) node.close();
        for (RunnerStandIn runner : runners) runner.close();
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        }
    }
}
