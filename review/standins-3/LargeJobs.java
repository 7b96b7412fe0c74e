import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client hands in batch jobs with large bodies of legal size, one after the other at a steady rate; without the
 * disruption bodies have the size of the sheet. No process is touched, and the store and the runners are sound.
 */
final class LargeJobs {
    private static final int JOBS = 420;
    private static final int ITEMS = 10;
    private static final int LARGE_BODY_BYTES = 70_000;
    private static final int USUAL_BODY_BYTES = 1_000;
    private static final long JOB_INTERVAL_MILLIS = 100;
    /** The day ends this long after the first start of a process. */
    private static final double DAY_SECONDS = 95;

    private final Fleet fleet;
    private final Recorder record;
    private final Random random = new Random(3);
    private final AtomicInteger nextNode = new AtomicInteger();

    private LargeJobs(Fleet fleet, Recorder record) {
        this.fleet = fleet;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Recorder record = new Recorder(Path.of(arguments[0], "record.txt"));
            Fleet fleet = new Fleet(record, 3, 4, 10)) {
            code = fleet.awaitReady(20) ? new LargeJobs(fleet, record).play(trouble) : 2;
            record.say("result " + code);
        }
        System.exit(code);
    }

    private int play(boolean trouble) throws InterruptedException {
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(16);
        Map<String, Set<String>> jobItems = new ConcurrentHashMap<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", random.nextLong());
            Set<String> items = new HashSet<>();
            byte[] body = job(id, trouble ? LARGE_BODY_BYTES : USUAL_BODY_BYTES, items);
            jobItems.put(id, items);
            clients.submit(() -> {
                if (submit(id, body, statuses)) accepted.add(id);
            });
            Thread.sleep(JOB_INTERVAL_MILLIS);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        record.say("jobs sent " + JOBS + " accepted " + accepted.size() + " answers " + statuses);
        record.say("stored jobs " + fleet.store.count("entryjobs") + " with " + fleet.store.bytes("entryjobs") + " bytes");
        int complete = readAll(accepted, jobItems);
        // One process after the other ends while nobody sends or reads anything.
        int ready = (int) fleet.nodes.stream().filter(Fleet::isReady).count();
        int enders = 0;
        for (Node node : fleet.nodes) {
            synchronized (node.ownEnds) {
                record.say(node.name + " ended by itself " + node.ownEnds.size() + " times: " + node.ownEnds);
                if (node.ownEnds.size() >= 3) enders++;
            }
        }
        record.say("accepted " + accepted.size() + " complete " + complete + " nodes ready at the end " + ready);
        // Fault: on a tenth of the machines (two at least) processes end by themselves three times.
        return enders >= 2 ? 1 : 0;
    }

    private byte[] job(String id, int bodyBytes, Set<String> items) {
        StringBuilder text = new StringBuilder("{\"items\":[");
        byte[] body = new byte[bodyBytes];
        for (int i = 0; i < ITEMS; i++) {
            random.nextBytes(body);
            String item = id.substring(0, 12) + String.format("%04x", i);
            items.add(item);
            if (i > 0) text.append(',');
            text.append("{\"id\":\"").append(item).append("\",\"path\":\"/pule252/3/91c4\",\"headers\":{\"X-Model\":\"m\",")
                .append("\"X-Token-Usage\":\"540,400\",\"X-Prompt-Prefix\":\"9c2e41:300,").append(item)
                .append(":240\"},\"body\":\"").append(Base64.getEncoder().encodeToString(body))
                .append("\",\"tokens\":940}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a job until it is accepted, each time to another node, as clients do. */
    private boolean submit(String id, byte[] body, Map<Integer, Integer> statuses) {
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
            record.line("job " + id + " bytes " + body.length + " at " + node.name + " answered " + status);
            if (status == 202) return true;
            pause(1_000);
        }
        return false;
    }

    /** Reads the results of the accepted jobs until the day is over. */
    private int readAll(Set<String> accepted, Map<String, Set<String>> jobItems) {
        List<String> open = new ArrayList<>(accepted);
        while (record.elapsed() < DAY_SECONDS) {
            open.removeIf(id -> record.elapsed() < DAY_SECONDS && isComplete(id, jobItems.get(id)));
            pause(500);
        }
        for (String id : open) record.line("job " + id + " incomplete");
        return accepted.size() - open.size();
    }

    private boolean isComplete(String id, Set<String> items) {
        Node node = fleet.nodes.get(nextNode.getAndIncrement() % fleet.nodes.size());
        try {
            Call answer = Call.send(node.front, "GET", "/lots/" + id + "?after=0", headers(Map.of()), new byte[0], 2_500);
            if (answer.status != 200) {
                record.line("read " + id + " at " + node.name + " answered " + answer.status);
                return false;
            }
            List<String> results = Json.elements(Json.members(answer.text()).get("results"));
            Set<String> ids = new HashSet<>();
            for (String result : results) ids.add(Json.string(Json.members(result).get("id")));
            record.line("read " + id + " at " + node.name + " results " + ids.size());
            return ids.equals(items);
        } catch (IOException failure) {
            record.line("read " + id + " at " + node.name + " failed: " + failure.getMessage());
            return false;
        }
    }

    private static Map<String, String> headers(Map<String, String> more) {
        Map<String, String> headers = new HashMap<>(more);
        headers.put("Host", Fleet.HOST);
        headers.put("X-Credential", Fleet.KEY);
        return headers;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
