import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** UNASKED: the node that runs batch jobs is cut off while they are ended at another node, and goes on with them. */
final class EndWhileCut {
    private static final int ROUNDS = 4;
    private static final int JOBS = 10;
    private static final int ITEMS = 24;
    private static final long CUT_MILLIS = 12_000;

    /** From the beginning of the cut: the other node has noticed the silence, and the cut lasts over 10 s more. */
    private static final long END_MILLIS = 1_300;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 3_000;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], EndWhileCut::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addRunners(2, Runner.SLOTS, 176, 65, 6);
        rig.start(2, 4_700);
        int late = 0;
        for (int round = 1; round <= ROUNDS && late == 0; round++) late = round(rig, round);
        rig.noteRuns();
        rig.noteLogs("event=job_", "event=member_", "event=holder_not_reached");
        rig.note("runs of items that began later than " + CANCEL_MILLIS + " ms after the ack, and " + CONTACT_MILLIS
            + " ms after the cut: " + late);
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns the number of late runs. */
    private static int round(Rig rig, int round) throws Exception {
        Rig.Entry holder = rig.entries.get(0);
        Rig.Entry other = rig.entries.get(1);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("7c41e09b52d%02x%03x", round, i);
            if (holder.submit(job, rig.items(job, ITEMS)).status() != 202) throw new Rig.CannotRun("a job was not accepted");
            jobs.add(job);
        }
        Thread.sleep(1_000);
        long cutMillis = Rig.nowMillis();
        if (rig.hasTrouble) rig.setFirstCut(true);
        Thread.sleep(END_MILLIS);
        // Another client of the tenant ends all of its jobs at once, at the other node.
        Map<String, Long> acknowledged = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (String job : jobs) {
            Thread client = new Thread(() -> {
                try {
                    if (other.end(job).status() == 200) acknowledged.put(job, Rig.nowMillis());
                } catch (IOException unanswered) {
                    rig.note("DELETE of job " + job + " was not answered: " + unanswered);
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) client.join();
        if (acknowledged.isEmpty()) throw new Rig.CannotRun("no end was acknowledged");
        Thread.sleep(Math.max(0, cutMillis + CUT_MILLIS - Rig.nowMillis()));
        if (rig.hasTrouble) rig.setFirstCut(false);
        long healedMillis = Rig.nowMillis();
        Thread.sleep(8_000);
        int late = 0;
        long lastLateMillis = 0;
        for (Runner.Run run : rig.runs()) {
            Long ackMillis = acknowledged.get(run.item.substring(0, 16));
            if (ackMillis == null || run.startMillis <= ackMillis + CANCEL_MILLIS) continue;
            // The rule holds for machines in touch: from contact_ms after the end of the cut.
            if (rig.hasTrouble && run.startMillis <= healedMillis + CONTACT_MILLIS) continue;
            late++;
            lastLateMillis = Math.max(lastLateMillis, run.startMillis - ackMillis);
        }
        rig.note("round " + round + ": ends acknowledged: " + acknowledged.size() + "; late runs: " + late
            + ", the last one " + lastLateMillis + " ms after the ack");
        return late;
    }
}
