import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry node, started with the command of the deploy file; like the platform it restarts a process that ends. */
final class Node implements AutoCloseable {
    /** A process that was killed is back within a second; one that ended by itself is restarted after a short delay. */
    private static final long BACK_MILLIS = 500;
    private static final long RESTART_MILLIS = 1_000;

    final String name;
    final int front;
    final int ready;
    private final int control;
    private final String zone;
    private final Path folder;
    private final Path settings;
    private final Recorder record;
    /** Each end without a kill: its time and exit code. */
    final List<String> ownEnds = new ArrayList<>();
    private volatile Process process;
    private volatile boolean stopping;
    private volatile boolean killed;
    private Thread keeper;

    private Node(String name, String zone, Path folder, Recorder record) throws IOException {
        this.name = name;
        this.zone = zone;
        this.folder = folder;
        this.record = record;
        int[] ports = freePorts(3);
        front = ports[0];
        ready = ports[1];
        control = ports[2];
        settings = folder.resolve(name + ".conf");
    }

    static List<Node> startAll(int count, List<String> zones, String store, Path folder, Recorder record)
        throws IOException {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node("frontend-" + (i + 1), zones.get(i % zones.size()), folder, record));
        }
        String seeds = String.join(",", nodes.stream().limit(3).map(it -> "127.0.0.1:" + it.control).toList());
        for (Node node : nodes) {
            node.writeSettings(zones, store, seeds);
            node.keeper = new Thread(node::keepRunning);
            node.keeper.start();
        }
        return nodes;
    }

    private void writeSettings(List<String> zones, String store, String seeds) throws IOException {
        List<String> lines = new ArrayList<>(List.of(
            "node=" + name, "role=entry", "machine_class=frontend", "serves=frontend,control_plane", "ip=127.0.0.1",
            "zone=" + zone, "region=nwga", "listen.front=127.0.0.1:" + front, "listen.ready=127.0.0.1:" + ready,
            "listen.control=127.0.0.1:" + control, "seeds=" + seeds, "bootstrap=true", "fault_counted=false",
            "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=430", "limits.max_fds=4100",
            "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform",
            "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=8",
            "bounds.config_apply_ms=2000", "bounds.max_skew_ms=5000", "bounds.quota_window_s=5",
            "bounds.quota_overage=0.1", "bounds.quota_slack=20", "bounds.recovery_s=12", "bounds.finish_s=18",
            "bounds.status_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000", "provider.address=" + store,
            "provider.form=objects", "provider.writes_per_s=400", "provider.reads_per_s=2000", "provider.history_s=20",
            "provider.value_bytes=1048576"));
        for (String each : zones) lines.add("zones." + each + "=nwga");
        Files.write(settings, lines);
    }

    private void keepRunning() {
        try {
            while (!stopping) {
                Process started = start();
                process = started;
                record.line("start " + name);
                int code = started.waitFor();
                if (stopping) return;
                if (killed) {
                    killed = false;
                    record.line("killed " + name);
                    Thread.sleep(BACK_MILLIS);
                } else {
                    synchronized (ownEnds) {
                        ownEnds.add(record.seconds() + " code " + code);
                    }
                    record.line("END BY ITSELF " + name + " code " + code);
                    Thread.sleep(RESTART_MILLIS);
                }
            }
        } catch (IOException failure) {
            record.line("could not start " + name + ": " + failure);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private Process start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(new File("."));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("RAGWORTBARROW_CONFIG", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        return builder.start();
    }

    /** The `run` line of the role `entry` in the deploy file. */
    private static List<String> command() throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.equals("[roles.entry]");
            if (inRole && line.startsWith("run = \"")) {
                return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("no run line of the role entry");
    }

    /** SIGKILL; the platform starts the process again. */
    void kill() {
        killed = true;
        process.destroyForcibly();
    }

    @Override
    public void close() {
        stopping = true;
        Process last = process;
        if (last != null) {
            last.destroyForcibly();
            try {
                last.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        keeper.interrupt();
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }
}
