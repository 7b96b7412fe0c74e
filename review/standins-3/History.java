import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many small batch jobs come and are finished. A few larger ones are accepted, and the processes of all machines are
 * killed at the same moment; they are back within a second. Without the disruption they run on. The jobs that are open
 * then have finish_s.
 */
final class History {
    private static final int FINISHED_JOBS = 2_800;
    private static final long JOB_INTERVAL_MICROS = 17_000;
    private static final int OPEN_JOBS = 6;
    private static final int OPEN_ITEMS = 10;
    private static final double FINISH_SECONDS = 18;
    private static final double CALM_SECONDS = 5;

    private final Fleet fleet;
    private final Recorder record;
    private final Random random = new Random(5);
    private final AtomicInteger nextNode = new AtomicInteger();
    private final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();

    private History(Fleet fleet, Recorder record) {
        this.fleet = fleet;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Recorder record = new Recorder(Path.of(arguments[0], "record.txt"));
            Fleet fleet = new Fleet(record, 3, 9, 10)) {
            code = fleet.awaitReady(20) ? new History(fleet, record).play(trouble) : 2;
            record.say("result " + code);
        }
        System.exit(code);
    }

    private int play(boolean trouble) throws InterruptedException {
        // Ids grow with time, as those of many clients do.
        AtomicInteger finished = new AtomicInteger();
        ExecutorService clients = Executors.newFixedThreadPool(32);
        long startNanos = System.nanoTime();
        for (int i = 0; i < FINISHED_JOBS; i++) {
            String id = id(i);
            clients.submit(() -> {
                if (submit(id, job(id, 1, 2))) finished.incrementAndGet();
            });
            long waitNanos = startNanos + (i + 1) * JOB_INTERVAL_MICROS * 1_000 - System.nanoTime();
            if (waitNanos > 0) TimeUnit.NANOSECONDS.sleep(waitNanos);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        for (int i = 0; i < 40 && fleet.store.count("entryresults") < finished.get(); i++) Thread.sleep(200);
        record.say("small jobs accepted " + finished + " answers " + statuses + " stored chunks of results "
            + fleet.store.count("entryresults"));
        Set<String> open = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < OPEN_JOBS; i++) {
            String id = id(FINISHED_JOBS + i);
            if (submit(id, job(id, OPEN_ITEMS, 150))) open.add(id);
        }
        Thread.sleep(300);
        if (trouble) for (Node node : fleet.nodes) node.kill();
        double killed = record.elapsed();
        record.say("open jobs accepted " + open.size() + (trouble ? ", all processes killed at " : ", no kill at ") + killed);
        Map<String, Integer> listed = new TreeMap<>();
        while (record.elapsed() < killed + FINISH_SECONDS) {
            for (String id : open) {
                int results = results(id);
                if (results >= 0) listed.put(id, results);
            }
            Thread.sleep(500);
        }
        double idle = fleet.runners.stream().mapToDouble(RunnerStandIn::idleSeconds).min().orElse(0);
        List<String> incomplete = new ArrayList<>();
        for (String id : open) if (listed.getOrDefault(id, 0) < OPEN_ITEMS) incomplete.add(id);
        record.say("when finish_s is over: results of the open jobs " + listed + ", runners idle for "
            + String.format("%.1f", idle) + " s");
        // For the record: how long it takes until they are complete.
        double until = Math.min(record.elapsed() + 25, 108);
        List<String> left = new ArrayList<>(incomplete);
        while (!left.isEmpty() && record.elapsed() < until) {
            left.removeIf(id -> results(id) == OPEN_ITEMS);
            Thread.sleep(500);
        }
        record.say("complete after " + String.format("%.1f", record.elapsed() - killed) + " s, still open " + left.size());
        boolean ready = fleet.nodes.stream().allMatch(Fleet::isReady);
        if (open.size() < OPEN_JOBS || !ready) return 2;
        return !incomplete.isEmpty() && idle >= CALM_SECONDS ? 1 : 0;
    }

    private String id(int number) {
        return String.format("%08x%08x", 0x6000_0000 + number, random.nextInt());
    }

    private byte[] job(String id, int items, int events) {
        StringBuilder text = new StringBuilder("{\"items\":[");
        for (int i = 0; i < items; i++) {
            String item = id.substring(0, 12) + String.format("%04x", i);
            if (i > 0) text.append(',');
            text.append("{\"id\":\"").append(item).append("\",\"path\":\"/pule252/3/91c4\",\"headers\":{\"X-Model\":\"m\",")
                .append("\"X-Token-Usage\":\"540,400\",\"X-Prompt-Prefix\":\"9c2e41:300,").append(item)
                .append(":240\",\"").append(RunnerStandIn.EVENTS_HEADER).append("\":\"").append(events)
                .append("\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":940}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private boolean submit(String id, byte[] body) {
        for (int attempt = 0; attempt < 4; attempt++) {
            Node node = fleet.nodes.get(nextNode.getAndIncrement() % fleet.nodes.size());
            int status;
            try {
                status = Call.send(
                    node.front, "POST", "/pule252/" + id.substring(0, 6),
                    headers(Map.of("X-Request-Id", id, "Content-Type", "application/json")), body, 4_000).status;
            } catch (IOException failure) {
                status = 0;
            }
            statuses.merge(status, 1, Integer::sum);
            record.line("job " + id + " at " + node.name + " answered " + status);
            if (status == 202) return true;
        }
        return false;
    }

    /** The number of results that a node lists; -1 without an answer. */
    private int results(String id) {
        Node node = fleet.nodes.get(nextNode.getAndIncrement() % fleet.nodes.size());
        try {
            Call answer = Call.send(node.front, "GET", "/lots/" + id + "?after=0", headers(Map.of()), new byte[0], 2_500);
            int count = answer.status == 200 ? Json.elements(Json.members(answer.text()).get("results")).size() : -1;
            record.line("read " + id + " at " + node.name + " answered " + answer.status + " results " + count);
            return count;
        } catch (IOException failure) {
            record.line("read " + id + " at " + node.name + " failed: " + failure.getMessage());
            return -1;
        }
    }

    private static Map<String, String> headers(Map<String, String> more) {
        Map<String, String> headers = new HashMap<>(more);
        headers.put("Host", Fleet.HOST);
        headers.put("X-Credential", Fleet.KEY);
        return headers;
    }
}
