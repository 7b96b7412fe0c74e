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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests with a part of a prompt on which runners crash come among sound ones, at all machines. Then the processes of
 * all machines are killed at the same moment and are back within a second; without the disruption they run on.
 */
final class CrashPart {
    private static final String PART = "bad0c0de";
    private static final double CONTACT_SECONDS = 3.0;

    private record Reach(double at, String request, int runner) {
    }

    private final Fleet fleet;
    private final Recorder record;
    private final Random random = new Random(4);
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final List<Reach> reaches = new ArrayList<>();
    private final AtomicInteger soundSent = new AtomicInteger();
    private final AtomicInteger soundAnswered = new AtomicInteger();
    private volatile boolean ended;

    private CrashPart(Fleet fleet, Recorder record) {
        this.fleet = fleet;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Recorder record = new Recorder(Path.of(arguments[0], "record.txt"));
            Fleet fleet = new Fleet(record, 3, 9, 10)) {
            code = fleet.awaitReady(20) ? new CrashPart(fleet, record).play(trouble) : 2;
            record.say("result " + code);
        }
        System.exit(code);
    }

    private int play(boolean trouble) throws InterruptedException {
        for (int i = 0; i < fleet.runners.size(); i++) {
            int number = i + 1;
            fleet.runners.get(i).onCrashPart = request -> {
                synchronized (reaches) {
                    reaches.add(new Reach(record.elapsed(), request, number));
                }
                record.line("crash of i-" + number + " on " + request);
            };
            fleet.runners.get(i).crashPart = PART;
        }
        clients.submit(this::sendSound);
        Thread.sleep(4_000);
        sendHarmful(20, 500);
        Thread.sleep(3_000);
        double fifth = fifthCrash();
        double killed = record.elapsed();
        if (trouble) for (Node node : fleet.nodes) node.kill();
        record.say("fifth crash at " + fifth + (trouble ? ", all processes killed at " + killed : ""));
        // All machines are in touch again well before the next harmful request.
        Thread.sleep(8_000);
        double after = record.elapsed();
        boolean ready = fleet.nodes.stream().allMatch(Fleet::isReady);
        sendHarmful(24, 333);
        Thread.sleep(3_000);
        ended = true;
        clients.shutdown();
        clients.awaitTermination(6, TimeUnit.SECONDS);
        long before = count(fifth + CONTACT_SECONDS, killed);
        long later = count(Math.max(after, fifth + CONTACT_SECONDS), Double.MAX_VALUE);
        record.say("sound requests sent " + soundSent + " answered whole " + soundAnswered);
        record.say("requests with the part at runners, later than contact_ms after the fifth crash: " + before
            + " before " + (trouble ? "the kill, " : "the middle, ") + later + " after it; all " + reaches.size());
        if (Double.isNaN(fifth) || !ready) return 2;
        return before + later > 3 ? 1 : 0;
    }

    private double fifthCrash() {
        synchronized (reaches) {
            return reaches.size() < 5 ? Double.NaN : reaches.get(4).at;
        }
    }

    private long count(double from, double until) {
        synchronized (reaches) {
            return reaches.stream().filter(it -> it.at > from && it.at <= until).count();
        }
    }

    private void sendSound() {
        while (!ended) {
            String id = id();
            clients.submit(() -> {
                soundSent.incrementAndGet();
                if (send(id, "9c2e41:200," + id.substring(0, 8) + ":250") == 200) soundAnswered.incrementAndGet();
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
            Call answer = Call.send(node.front, "POST", "/lohu930/2f", headers, new byte[1_500], 5_500);
            return answer.status;
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
