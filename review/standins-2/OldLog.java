import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The node with a batch job is cut off from the other entry nodes, and from nothing else, for 12 s. Clients read the
 * results at all nodes. What a client has read at one node must be at each node that is in touch settle_ms later.
 */
public final class OldLog {
    private static final int ITEMS = 10;
    private static final int EVENTS = 176;
    private static final long CUT_MILLIS = 12_000;
    private static final String JOB = "7c41e09b52d6a3f8";

    private static final Map<Integer, String> itemAt = new HashMap<>();
    private static final Map<Integer, Long> firstReadMillis = new HashMap<>();
    private static int missing;
    private static int changed;

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
        // Runners of one service differ in speed.
        long[] eventMillis = {90, 15, 15};
        for (int i = 0; i < 3; i++) {
            new Runner(rig.store, "i-runner" + (i + 1), Rig.SERVICE, zones.get(i), eventMillis[i], rig.record);
        }
        List<PeerLink> links = rig.startLinkedNodes(zones);
        List<String> names = new ArrayList<>();
        for (Node node : rig.nodes) names.add(node.name);

        Node holder = rig.nodes.get(0);
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) items.add(Rig.item(String.format("e5b2907c14da%04x", i), EVENTS, new byte[64]));
        if (rig.submit(holder, JOB, items) != 202) throw new IllegalStateException("the job isn't accepted");
        boolean[] isOver = {false};
        List<Thread> readers = new ArrayList<>();
        for (Node node : rig.nodes) {
            readers.add(Http.daemon(() -> {
                while (!isOver[0]) {
                    readNext(rig, node);
                    Rig.pause(500);
                }
            }));
        }
        Rig.pause(300);
        if (trouble) {
            rig.record.add("cut: %s from %s and %s", names.get(0), names.get(1), names.get(2));
            links.get(0).cut(names.subList(1, 3));
            links.get(1).cut(names.subList(0, 1));
            links.get(2).cut(names.subList(0, 1));
        }
        Rig.pause(CUT_MILLIS);
        if (trouble) {
            rig.record.add("healed");
            links.forEach(PeerLink::heal);
        }
        Rig.pause(12_000);
        isOver[0] = true;
        for (Thread reader : readers) reader.join(10_000);
        int listed = 0;
        while (itemAt.containsKey(listed)) listed++;
        rig.record.add("verdict: %d reads found nothing at a position that had been read over %d ms before, "
            + "%d found another result; %d of %d results listed", missing, Rig.SETTLE_MILLIS, changed, listed, ITEMS);
        System.out.println(missing + " reads found nothing at a position that had been read, " + changed
            + " found another result");
        if (!trouble && listed < ITEMS) return 2;
        return missing + changed > 0 ? 1 : 0;
    }

    /** Each node is read from the first position on that it has not shown yet. */
    private static final Map<String, Integer> shown = new HashMap<>();

    private static void readNext(Rig rig, Node node) {
        int after;
        synchronized (itemAt) {
            after = shown.getOrDefault(node.name, 0);
        }
        if (after >= ITEMS) return;
        Rig.Page page = rig.read(node, JOB, after, 0);
        synchronized (itemAt) {
            Long readMillis = firstReadMillis.get(after);
            boolean isEmpty = page.status == 404 || page.status == 410 || page.status == 200 && page.items.isEmpty();
            if (isEmpty && readMillis != null && page.sentMillis > readMillis + Rig.SETTLE_MILLIS) {
                missing++;
                rig.record.add("LOST node=%s has nothing at position %d, which was read %d ms before", node.name,
                    after, page.sentMillis - readMillis);
            }
            for (int i = 0; i < page.items.size(); i++) {
                String result = page.items.get(i) + " " + page.states.get(i) + " " + page.outputs.get(i);
                String before = itemAt.putIfAbsent(after + i, result);
                firstReadMillis.putIfAbsent(after + i, page.answeredMillis);
                if (before != null && !before.equals(result)) {
                    changed++;
                    rig.record.add("TWICE node=%s shows another result at position %d", node.name, after + i);
                }
            }
            shown.put(node.name, after + page.items.size());
        }
    }
}
