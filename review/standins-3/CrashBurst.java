import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Requests with a part of a prompt on which runners crash come among sound ones, at all machines, eight at a time.
 * Runners crash before they have written anything. Without the disruption the part does no harm.
 */
final class CrashBurst {
    private static final String PART = "bad0c0de";
    private static final double CONTACT_SECONDS = 3.0;
    private static final int BURSTS = 4;
    private static final int BURST_REQUESTS = 8;
    private static final long BURST_INTERVAL_MILLIS = 6_000;

    private record Sound(double at, boolean isAnswered) {
    }

    private final Fleet fleet;
    private final Recorder record;
    private final Random random = new Random(4);
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final List<Double> reaches = new ArrayList<>();
    private final List<Sound> sounds = new ArrayList<>();
    private volatile boolean ended;

    private CrashBurst(Fleet fleet, Recorder record) {
        this.fleet = fleet;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Recorder record = new Recorder(Path.of(arguments[0], "record.txt"));
            Fleet fleet = new Fleet(record, 3, 9, 10)) {
            code = fleet.awaitReady(20) ? new CrashBurst(fleet, record).play(trouble) : 2;
            record.say("result " + code);
        }
        System.exit(code);
    }

    private int play(boolean trouble) throws InterruptedException {
        for (RunnerStandIn runner : fleet.runners) {
            runner.onCrashPart = request -> {
                synchronized (reaches) {
                    reaches.add(record.elapsed());
                }
                record.line("the part reached a runner with " + request);
            };
            runner.crashPart = trouble ? PART : null;
        }
        clients.submit(this::sendSound);
        Thread.sleep(5_000);
        double first = record.elapsed();
        for (int burst = 0; burst < BURSTS; burst++) {
            sendHarmful(BURST_REQUESTS, 2);
            Thread.sleep(BURST_INTERVAL_MILLIS);
        }
        double last = record.elapsed();
        ended = true;
        clients.shutdown();
        clients.awaitTermination(6, TimeUnit.SECONDS);
        double fifth;
        long later;
        synchronized (reaches) {
            fifth = reaches.size() < 5 ? Double.NaN : reaches.get(4);
            later = reaches.stream().filter(it -> it > fifth + CONTACT_SECONDS).count();
        }
        record.say("requests with the part at runners: " + reaches.size() + ", later than contact_ms after the fifth crash: "
            + later);
        record.say("sound requests answered whole: " + share(0, first) + " before the first harmful one, "
            + share(first, last) + " since");
        return later > 3 ? 1 : 0;
    }

    private String share(double from, double until) {
        synchronized (sounds) {
            long sent = sounds.stream().filter(it -> it.at >= from && it.at <= until).count();
            long begun = sounds.stream().filter(it -> it.at >= from && it.at <= until && it.isAnswered).count();
            return begun + " of " + sent;
        }
    }

    private void sendSound() {
        while (!ended) {
            double at = record.elapsed();
            clients.submit(() -> {
                String id = id();
                boolean begun = send(id, "9c2e41:200," + id.substring(0, 8) + ":250") == 200;
                synchronized (sounds) {
                    sounds.add(new Sound(at, begun));
                }
                record.line("sound " + id + (begun ? " answered" : " not answered"));
            });
            pause(50);
        }
    }

    /** Requests that differ in all but their caller, their first part and the harmful one. */
    private void sendHarmful(int count, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            String id = id();
            clients.submit(() -> {
                int status = send(id, "9c2e41:200," + PART + ":120," + id.substring(0, 8) + ":130");
                record.line("harmful " + id + " answered " + status);
            });
            pause(intervalMillis);
        }
    }

    /** The status of a whole answer; 0 without one. */
    private int send(String id, String parts) {
        Node node = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
        Map<String, String> headers = new HashMap<>(Map.of(
            "Host", Fleet.HOST, "X-Credential", Fleet.KEY, "X-Request-Id", id, "X-Model", "m",
            "X-Token-Usage", "450,60", "X-Prompt-Prefix", parts, "X-Deadline-Ms", "5000"));
        try {
            return Call.send(node.front, "POST", "/lohu930/2f", headers, new byte[1_500], 5_500).status;
        } catch (IOException failure) {
            return 0;
        }
    }

    private synchronized String id() {
        return String.format("%016x", random.nextLong());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
