import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Batch jobs come in bursts, with calm seconds between them, and are done within seconds. A node may refuse a job, but no
 * process may end by itself.
 */
public final class ManyJobs {
    /** Of the sheet of tuftline-dalton: batch jobs a second, and the largest burst of their class. */
    private static final double USUAL_PER_SECOND = 0.72;
    private static final double BURST = 6;
    private static final long BURST_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int BURSTS = 22;
    private static final long TRAFFIC_MILLIS = 96_000;
    private static final int ITEMS = 120;
    private static final int BODY_BYTES = 3_000;
    private static final int EVENTS = 10;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
            exit = play(rig, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static int play(Rig rig, boolean trouble) throws Exception {
        List<String> zones = List.of("dalton", "calhoun", "chatsworth");
        for (int i = 0; i < 12; i++) {
            new Runner(rig.store, "i-runner" + (i + 1), Rig.SERVICE, zones.get(i % 3), 4, rig.record);
        }
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < 3; i++) seeds.add(Node.freeAddress());
        for (int i = 0; i < 3; i++) {
            rig.nodes.add(new Node(rig.folder, "frontend-" + zones.get(i) + "-1", zones.get(i), zones,
                Node.freeAddress(), Node.freeAddress(), seeds.get(i), null, seeds, rig.store.address, rig.record));
        }
        for (Node node : rig.nodes) node.start();
        for (Node node : rig.nodes) node.awaitReady(20_000);
        Rig.pause(3_000);

        Map<String, Integer> answers = new ConcurrentHashMap<>();
        Random random = new Random(1);
        long start = System.nanoTime();
        int ended = 0;
        Set<String> endedNodes = new HashSet<>();
        double due = 0;
        for (int number = 0; due < TRAFFIC_MILLIS; number++) {
            boolean isBurst = trouble && due < BURSTS * (BURST_MILLIS + PAUSE_MILLIS)
                && due % (BURST_MILLIS + PAUSE_MILLIS) < BURST_MILLIS;
            Rig.pause(Math.max(0, (long) due - (System.nanoTime() - start) / 1_000_000));
            due += 1_000 / (isBurst ? USUAL_PER_SECOND * BURST : USUAL_PER_SECOND);
            String job = String.format("7c41e09b%08x", number);
            List<Object> items = new ArrayList<>();
            for (int i = 0; i < ITEMS; i++) {
                byte[] body = new byte[BODY_BYTES];
                random.nextBytes(body);
                items.add(Rig.item(String.format("e5%08x%06x", number, i), EVENTS, body));
            }
            Node node = rig.nodes.get(number % 3);
            Http.daemon(() -> answers.put(job, rig.submit(node, job, items)));
            for (Node each : rig.nodes) {
                if (each.process.isAlive()) continue;
                ended++;
                endedNodes.add(each.name);
                rig.record.add("ENDED node=%s by itself with exit code %d after %d jobs were sent", each.name,
                    each.process.exitValue(), number + 1);
                Rig.pause(1_000);
                each.start();
            }
        }
        int done = 0;
        for (String job : answers.keySet()) {
            if (answers.get(job) == 202 && rig.store.listed(job) == ITEMS) done++;
        }
        rig.record.add("verdict: %d processes ended by themselves; %d of %d jobs accepted, %d of them done", ended,
            answers.values().stream().filter(it -> it == 202).count(), answers.size(), done);
        System.out.println(ended + " processes ended by themselves, on " + endedNodes.size() + " machines");
        // On a tenth of the machines in use, two at least, processes end by themselves three times.
        return ended >= 3 && endedNodes.size() >= 2 ? 1 : 0;
    }
}
