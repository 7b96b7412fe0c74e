import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Another writer has left one odd entry among those of the runners: proper JSON that is deeply nested. It names no runner to
 * use; the others hold. A batch job that is accepted has to be done when finish_s is over.
 */
public final class OddEntry {
    private static final int DEPTH = 5_000;
    private static final int ITEMS = 10;
    private static final int EVENTS = 176;
    private static final long FINISH_MILLIS = 18_000;

    /** The last 5 s have to be without a run; one that is not queued lasts some 2 s, and all of them begin at once. */
    private static final long CALM_MILLIS = 8_000;
    private static final long LEAD_MILLIS = 15_000;
    private static final String JOB = "7c41e09b52d6a3f8";

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
        for (int i = 0; i < 3; i++) {
            new Runner(rig.store, "i-runner" + (i + 1), Rig.SERVICE, zones.get(i), 10, rig.record);
        }
        if (trouble) {
            rig.store.putText("servers", "i-odd", "{\"note\":" + "[".repeat(DEPTH) + "]".repeat(DEPTH) + "}");
            rig.record.add("another writer leaves an entry that is nested %d deep", DEPTH);
        }
        rig.createNodes(zones);
        for (Node node : rig.nodes) node.start();
        // Traffic starts 15 s after the machines do.
        Rig.pause(LEAD_MILLIS);
        for (Node node : rig.nodes) rig.record.add("ready node=%s %b", node.name, node.isReady());

        List<Object> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) items.add(Rig.item(String.format("e5b2907c14da%04x", i), EVENTS, new byte[64]));
        int status = 0;
        for (int attempt = 0; attempt < 3 && status != 202; attempt++) {
            status = rig.submit(rig.nodes.get(attempt), JOB, items);
        }
        if (status != 202) throw new IllegalStateException("the job isn't accepted");
        Rig.pause(FINISH_MILLIS + 2_000);

        Set<String> listed = new LinkedHashSet<>();
        for (Node node : rig.nodes) listed.addAll(rig.read(node, JOB, 0, 0).items);
        int reached = rig.record.starts().size();
        long calmSince = rig.record.millis() - CALM_MILLIS;
        boolean isCalm = rig.record.starts().stream().allMatch(start -> start.arrivedMillis < calmSince);
        for (Node node : rig.nodes) rig.record.add("ready node=%s %b", node.name, node.isReady());
        rig.record.add("verdict: %d of %d items of the accepted job are listed %d ms after it was accepted; %d runs began at "
            + "the three idle runners", listed.size(), ITEMS, FINISH_MILLIS + 2_000, reached);
        System.out.println(listed.size() + " of " + ITEMS + " items of the accepted job are listed after finish_s");
        if (!trouble && listed.size() < ITEMS) return 2;
        return listed.size() < ITEMS && isCalm ? 1 : 0;
    }
}
