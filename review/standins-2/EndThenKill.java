import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A client hands a job in at one node and ends it at another one, which is killed right after it has acknowledged the
 * end. No item of the job may begin at a runner later than cancel_ms after that ack.
 */
public final class EndThenKill {
    private static final int ROUNDS = 3;
    private static final int ITEMS = 60;
    private static final int EVENTS = 40;

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
            new Runner(rig.store, "i-runner" + (i + 1), Rig.SERVICE, zones.get(i), 50, rig.record);
        }
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < 3; i++) seeds.add(Node.freeAddress());
        for (int i = 0; i < 3; i++) {
            rig.nodes.add(new Node(rig.folder, "frontend-" + zones.get(i) + "-1", zones.get(i), zones,
                Node.freeAddress(), Node.freeAddress(), seeds.get(i), null, seeds, rig.store.address, rig.record));
        }
        for (Node node : rig.nodes) node.start();
        for (Node node : rig.nodes) node.awaitReady(20_000);
        // Traffic starts 15 s after the machines do.
        Rig.pause(8_000);

        Map<String, Long> acks = new HashMap<>();
        // The node that is killed and the one with the job, in each round.
        int[][] roles = {{1, 2}, {2, 0}, {1, 2}};
        for (int round = 0; round < ROUNDS; round++) {
            Node killed = rig.nodes.get(roles[round][0]);
            Node holder = rig.nodes.get(roles[round][1]);
            String job = "7c41e09b52d6a3f" + round;
            List<Object> items = new ArrayList<>();
            for (int i = 0; i < ITEMS; i++) {
                items.add(Rig.item(String.format("e%d%014x", round, i), EVENTS, new byte[64]));
            }
            if (rig.submit(holder, job, items) != 202) throw new IllegalStateException("the job isn't accepted");
            if (rig.end(killed, job) != 200) throw new IllegalStateException("the end isn't acknowledged");
            if (trouble) killed.kill();
            acks.put("e" + round, rig.record.millis());
            if (trouble) {
                Rig.pause(500);
                killed.start();
            }
            Rig.pause(13_000);
            killed.awaitReady(20_000);
        }
        int late = 0;
        for (Record.Start start : rig.record.starts()) {
            long ackMillis = acks.get(start.item.substring(0, 2));
            if (start.arrivedMillis > ackMillis + Rig.CANCEL_MILLIS) {
                late++;
                rig.record.add("LATE item=%s reached its runner %d ms after the ack of its job's end, and ran",
                    start.item, start.arrivedMillis - ackMillis);
            }
        }
        rig.record.add("verdict: %d items reached a runner later than %d ms after the ack, and ran", late, Rig.CANCEL_MILLIS);
        System.out.println(late + " items reached a runner later than cancel_ms after the ack of their job's end, and ran");
        return late > 0 ? 1 : 0;
    }
}
