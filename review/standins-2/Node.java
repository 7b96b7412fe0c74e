import java.io.File;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One entry process, started with the `run` line of the deploy file in the repository's root. */
final class Node {
    private static final Random RANDOM = new Random();
    private static final Set<Integer> TAKEN = new HashSet<>();

    final String name;
    final String front;
    final String ready;
    final String control;
    private final String advertised;
    private final Path settings;
    private final Path output;
    private final Record record;
    Process process;

    /** The address at which other nodes reach this one is [advertised] unless that is null. */
    Node(Path folder, String name, String zone, List<String> zones, String front, String ready, String control,
            String advertised, List<String> seeds, String store, Record record) throws Exception {
        this.name = name;
        this.front = front;
        this.ready = ready;
        this.control = control;
        this.advertised = advertised;
        this.record = record;
        settings = folder.resolve(name + ".conf");
        output = folder.resolve(name + ".out");
        List<String> lines = new ArrayList<>(List.of("node=" + name, "role=entry", "machine_class=frontend",
            "serves=frontend,control_plane", "ip=127.0.0.1", "zone=" + zone, "region=nwga"));
        for (String other : zones) lines.add("zones." + other + "=nwga");
        lines.addAll(List.of("listen.front=" + front, "listen.ready=" + ready, "listen.control=" + control,
            "seeds=" + String.join(",", seeds), "bootstrap=true", "fault_counted=false", "limits.cpu_share=0.75",
            "limits.cores=1", "limits.memory_mb=430", "limits.max_fds=4100", "limits.link_mbps=1000.0",
            "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform",
            "fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
            "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000",
            "bounds.catch_up_s=4.7", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.max_skew_ms=5000",
            "bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.quota_window_s=5",
            "bounds.quota_overage=0.1", "bounds.quota_slack=20", "bounds.recovery_s=12", "bounds.pass_ms=120",
            "bounds.retry_after_s=0", "bounds.finish_s=18", "bounds.status_s=120", "bounds.cancel_ms=3000",
            "bounds.settle_ms=1000", "provider.address=" + store, "provider.form=objects",
            "provider.writes_per_s=400", "provider.reads_per_s=2000", "provider.history_s=20",
            "provider.value_bytes=1048576", "provider.ttl_min_ms=1000"));
        Files.write(settings, lines);
    }

    /** A free port below those that outgoing connections take, so that none takes it before the process does. */
    static String freeAddress() throws Exception {
        while (true) {
            int port = 12_000 + RANDOM.nextInt(18_000);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (TAKEN.add(port)) return "127.0.0.1:" + port;
            } catch (java.net.BindException taken) {
                // The next one may be free.
            }
        }
    }

    /** The `run` line of the role `entry` in the deploy file. */
    private static List<String> command() throws Exception {
        boolean isEntry = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isEntry = line.startsWith("[roles.entry]");
            if (isEntry && line.startsWith("run")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(Arrays.asList(run.split(" ")));
            }
        }
        throw new IllegalStateException("the deploy file has no run line for the role entry");
    }

    void start() throws Exception {
        List<String> command = command();
        if (advertised != null) command.addAll(List.of("--advertise-peer", advertised));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("RAGWORTBARROW_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(output.toString())));
        process = builder.start();
        record.add("process node=%s started", name);
    }

    /** SIGKILL. */
    void kill() throws Exception {
        process.destroyForcibly();
        record.add("process node=%s killed", name);
        process.waitFor(5, TimeUnit.SECONDS);
    }

    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isReady() {
        try {
            return Http.call(ready, "GET", "/readyz", Map.of("Host", "ready"), null, 1_000).status() == 200;
        } catch (Exception notYet) {
            return false;
        }
    }

    void awaitReady(long limitMillis) {
        long end = System.nanoTime() + limitMillis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > end) throw new IllegalStateException(name + " isn't ready");
            Rig.pause(100);
        }
    }
}
