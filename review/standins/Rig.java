import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A small deployment on loopback addresses: the project's entry nodes, and stand-ins of all that is around them. */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String TENANT = "huka270";
    static final String SERVICE = "huvo11a";
    static final String PREFIX = "/pule252/";
    static final String ONLINE_PREFIX = "/lohu930/";
    private static final String[] ZONES = {"dalton", "calhoun"};
    private static final long START_NANOS = System.nanoTime();

    /** Thrown if the case cannot run. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    record Response(int status, String body) {}

    /** An entry node: one process of the project, started with the command of the deploy file. */
    final class Entry {
        final String name;
        final String zone;
        final int frontPort = freePort();
        final int readyPort = freePort();
        final int controlPort = freePort();
        final Link link;
        final Link storeLink;
        private Process process;

        Entry(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
            this.link = new Link(controlPort);
            this.storeLink = new Link(store.port());
        }

        void start(String seeds) throws IOException {
            Path settings = folder.resolve(name + ".conf");
            Files.writeString(settings, settings(this, seeds));
            List<String> command = new ArrayList<>(deployCommand("entry"));
            command.add("--advertise-peer");
            command.add(link.address());
            ProcessBuilder builder = new ProcessBuilder(command).directory(new File("."));
            builder.environment().put("RAGWORTBARROW_CONFIG", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logOf(this).toFile()));
            process = builder.start();
            note("process of " + name + " started");
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            note("process of " + name + " killed (SIGKILL)");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        boolean isReady() {
            try {
                return http("GET", readyPort, "/readyz", Map.of(), "", 1_000).status() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        Response submit(String job, List<Object> items) throws IOException {
            Map<String, String> headers = headers();
            headers.put("X-Request-Id", job);
            headers.put("Content-Type", "application/json");
            headers.put("X-Deadline-Ms", "4000");
            Response response = http("POST", frontPort, PREFIX + job, headers, Json.write(Json.of("items", items)), 5_500);
            note("POST of job " + job + " (" + items.size() + " items) at " + name + " -> " + response.status());
            return response;
        }

        Response end(String job) throws IOException {
            Response response = http("DELETE", frontPort, "/lots/" + job, headers(), "", 5_500);
            note("DELETE of job " + job + " at " + name + " -> " + response.status());
            return response;
        }

        Response read(String job, int after) throws IOException {
            return http("GET", frontPort, "/lots/" + job + "?after=" + after, headers(), "", 5_500);
        }
    }

    final Path folder = Files.createTempDirectory("review");
    final Store store = new Store();
    final List<Runner> runners = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintStream record;

    Rig(String recordPath) throws IOException {
        record = new PrintStream(Files.newOutputStream(Path.of(recordPath)), true, StandardCharsets.UTF_8);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble: " + hasTrouble);
    }

    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void note(String line) {
        record.printf("%8.3f s  %s%n", nowMillis() / 1_000.0, line);
    }

    /** Starts everything and waits until all entry nodes are ready and know each other. */
    void start(int entryCount, long catchUpMillis) throws IOException, InterruptedException {
        for (Runner runner : runners) store.put("servers", runner.id, runner.entry(SERVICE, ZONES[runners.indexOf(runner) % 2]));
        store.put("config", "main", configuration());
        for (int i = 0; i < entryCount; i++) entries.add(new Entry("frontend-" + ZONES[i % 2] + "-" + (i / 2 + 1), ZONES[i % 2]));
        for (Entry entry : entries) entry.start(seeds());
        if (!await(30_000, () -> entries.stream().allMatch(Entry::isReady))) throw new CannotRun("the entry nodes are not ready");
        note("all entry nodes are ready");
        Thread.sleep(catchUpMillis);
    }

    /** Cuts the first of two entry nodes off from the other one and from the store; clients and runners still reach it. */
    void setFirstCut(boolean cut) {
        if (entries.size() != 2) throw new CannotRun("a cut needs two entry nodes");
        for (Entry entry : entries) entry.link.setCut(cut);
        entries.get(0).storeLink.setCut(cut);
        note(entries.get(0).name + (cut ? " is cut off from the other entry node and from the store" : " is no longer cut off"));
    }

    String seeds() {
        List<String> seeds = new ArrayList<>();
        for (Entry entry : entries) seeds.add(entry.link.address());
        return String.join(",", seeds);
    }

    void addRunners(int count, int slots, int events, int eventBytes, long gapMillis) throws IOException {
        for (int i = 0; i < count; i++) runners.add(new Runner("i-7f3a91" + (10 + i), slots, events, eventBytes, gapMillis));
    }

    static boolean await(long limitMillis, BooleanSupplier condition) throws InterruptedException {
        long untilMillis = nowMillis() + limitMillis;
        while (!condition.getAsBoolean()) {
            if (nowMillis() > untilMillis) return false;
            Thread.sleep(20);
        }
        return true;
    }

    List<Object> items(String job, int count) {
        List<Object> items = new ArrayList<>();
        String body = Base64.getEncoder().encodeToString("q".repeat(1_100).getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < count; i++) {
            String id = job + String.format("%04x", i);
            Map<String, Object> headers = Json.of("X-Model", "m", "X-Token-Usage", "350,176", "X-Prompt-Prefix", "9c2e41:100," + id + ":250");
            items.add(Json.of("id", id, "path", PREFIX + "3/" + id, "headers", headers, "body", body, "tokens", 526));
        }
        return items;
    }

    /** Reads all results of a job at an entry node; null if a call fails. */
    Map<String, Map<String, Object>> results(Entry entry, String job) throws IOException {
        Map<String, Map<String, Object>> results = new LinkedHashMap<>();
        while (true) {
            Response response = entry.read(job, results.size());
            if (response.status() != 200) return null;
            List<Object> page = Json.list(Json.object(Json.parse(response.body())).get("results"));
            if (page.isEmpty()) return results;
            for (Object result : page) results.put((String) Json.object(result).get("id"), Json.object(result));
        }
    }

    List<Runner.Run> runs() {
        List<Runner.Run> all = new ArrayList<>();
        for (Runner runner : runners) all.addAll(runner.runs);
        all.sort(Comparator.comparingLong(run -> run.startMillis));
        return all;
    }

    void noteRuns() {
        for (Runner.Run run : runs()) {
            note("run of item " + run.item + " at " + run.runner + " began at " + run.startMillis + " ms after event " + run.after
                + ", " + (run.isComplete ? "complete" : "last event " + run.lastEvent) + " at " + run.endMillis + " ms");
        }
    }

    /** Lines of the entry nodes' logs that contain one of [words]. */
    void noteLogs(String... words) throws IOException {
        for (Entry entry : entries) {
            for (String line : Files.readAllLines(logOf(entry))) {
                for (String word : words) if (line.contains(word)) note("log of " + entry.name + ": " + line);
            }
        }
    }

    private Path logOf(Entry entry) {
        return folder.resolve(entry.name + ".txt");
    }

    static Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Credential", KEY);
        return headers;
    }

    private static Map<String, Object> configuration() {
        Map<String, Object> route = Json.of("name", "r-lotquote", "host", HOST, "path_prefix", PREFIX, "kind", "batch",
            "timeout_ms", 15_000, "target_latency_ms", 400, "priority", 2, "service", SERVICE, "max_attempts", 3,
            "anonymous", false, "sticky", true, "resumable", true, "completion_target_ms", 18_000, "max_wait_s", 60);
        Map<String, Object> online = Json.of("name", "r-askpile", "host", HOST, "path_prefix", ONLINE_PREFIX, "kind", "streaming",
            "timeout_ms", 5_000, "target_latency_ms", 300, "priority", 0, "service", SERVICE, "max_attempts", 2,
            "anonymous", false, "sticky", true, "resumable", true, "gap_target_ms", 250);
        Map<String, Object> service = Json.of("name", SERVICE, "health_path", "/healthz", "max_connections", 210, "protocol", "h1", "tls", false);
        Map<String, Object> limits = Json.of("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 3_000, "idle_timeout_ms", 15_000);
        Map<String, Object> tenant = Json.of("name", TENANT, "api_keys", List.of(KEY), "priority", 1, "rate_per_s", 65, "burst", 65);
        return Json.of("version", 7, "routes", List.of(route, online), "services", List.of(service), "limits", limits, "tenants", List.of(tenant));
    }

    private String settings(Entry entry, String seeds) {
        return String.join("\n",
            "node=" + entry.name, "role=entry", "machine_class=frontend", "serves=frontend,control_plane",
            "ip=127.0.0.1", "zone=" + entry.zone, "region=nwga", "zones.dalton=nwga", "zones.calhoun=nwga",
            "listen.front=127.0.0.1:" + entry.frontPort, "listen.ready=127.0.0.1:" + entry.readyPort,
            "listen.control=127.0.0.1:" + entry.controlPort, "internal_ports=7660,7675", "seeds=" + seeds,
            "bootstrap=true", "fault_counted=false", "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=430",
            "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
            "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform",
            "fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.seed_lag_s=3",
            "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4.7",
            "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
            "bounds.downgrade_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.strict_revoke=false",
            "bounds.revoke_ms=5000", "bounds.quota_window_s=5", "bounds.quota_overage=0.1", "bounds.quota_slack=20",
            "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.finish_s=18",
            "bounds.status_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000",
            "provider.address=" + entry.storeLink.address(), "provider.form=objects", "provider.writes_per_s=400",
            "provider.reads_per_s=2000", "provider.history_s=20", "provider.value_bytes=" + Store.VALUE_BYTES,
            "provider.ttl_min_ms=1000", "");
    }

    /** The words of the `run` line of a role in the deploy file. */
    private static List<String> deployCommand(String role) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isInRole = line.equals("[roles." + role + "]");
            if (isInRole && line.startsWith("run = ")) return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new CannotRun("the deploy file has no role " + role);
    }

    private static final java.util.Set<Integer> usedPorts = new java.util.HashSet<>();

    private static int freePort() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                if (usedPorts.add(socket.getLocalPort())) return socket.getLocalPort();
            } catch (IOException failure) {
                throw new CannotRun("no free port");
            }
        }
    }

    static Response http(String method, int port, String path, Map<String, String> headers, String body, int limitMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
            socket.setSoTimeout(limitMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) head.append("Host: 127.0.0.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (bytes.length > 0) head.append("Content-Length: ").append(bytes.length).append("\r\n");
            head.append("\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream input = new java.io.BufferedInputStream(socket.getInputStream());
            String first = line(input);
            Map<String, String> answered = new HashMap<>();
            for (String line = line(input); !line.isEmpty(); line = line(input)) {
                answered.put(line.substring(0, line.indexOf(':')).toLowerCase(), line.substring(line.indexOf(':') + 1).trim());
            }
            byte[] content = input.readNBytes(Integer.parseInt(answered.getOrDefault("content-length", "0")));
            return new Response(Integer.parseInt(first.split(" ")[1]), new String(content, StandardCharsets.UTF_8));
        }
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) throw new IOException("the connection ended before the answer did");
            if (next == '\n') return line.toString(StandardCharsets.UTF_8);
            if (next != '\r') line.write(next);
        }
    }

    private void endProcesses() {
        for (Entry entry : entries) if (entry.process != null) entry.process.destroyForcibly();
        for (Entry entry : entries) {
            try {
                if (entry.process != null) entry.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                return;
            }
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }

    @Override
    public void close() {
        endProcesses();
    }

    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and ends with its result; everything that it started has ended by then. */
    static void main(String recordPath, Case body) {
        int result = NOT_RUN;
        try (Rig rig = new Rig(recordPath)) {
            try {
                result = body.run(rig);
            } catch (CannotRun reason) {
                rig.note("the case could not run: " + reason.getMessage());
            } catch (Exception failure) {
                rig.note("the case could not run: " + failure);
            }
            rig.note("result: " + (result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "not run"));
        } catch (IOException failure) {
            System.err.println(failure);
        }
        System.exit(result);
    }
}
