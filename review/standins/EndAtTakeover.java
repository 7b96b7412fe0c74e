import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** UNASKED: the answer to the write with which a node takes a batch job over is lost, and the job is ended meanwhile. */
final class EndAtTakeover {
    private static final int JOBS = 12;
    private static final int ITEMS = 24;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 3_000;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], EndAtTakeover::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addRunners(2, Runner.SLOTS, 176, 65, 6);
        rig.start(3, 4_700);
        Rig.Entry holder = rig.entries.get(0);
        Rig.Entry other = rig.entries.get(1);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("7c41e09b52d6a%03x", i);
            if (holder.submit(job, rig.items(job, ITEMS)).status() != 202) throw new Rig.CannotRun("a job was not accepted");
            jobs.add(job);
        }
        Thread.sleep(1_500);
        // platform_lost: 0.3 of the writes are done and not answered. Every fourth of the takeovers is one of them.
        Set<String> taken = ConcurrentHashMap.newKeySet();
        AtomicInteger lost = new AtomicInteger();
        long[] lastLostMillis = {0};
        rig.store.losesAnswer = write -> {
            if (!write.kind().equals("entryjobstates") || !write.spec().containsKey("holder")) return false;
            if (!taken.add(write.name()) || taken.size() % 4 != 1 || !rig.hasTrouble) return false;
            lost.incrementAndGet();
            lastLostMillis[0] = Rig.nowMillis();
            rig.note("the store does the takeover of job " + write.name() + " and does not answer");
            return true;
        };
        holder.kill();
        long killedMillis = Rig.nowMillis();
        Thread.sleep(1_000);
        holder.start(rig.seeds());
        // The client ends its jobs as they are taken over.
        Map<String, Long> acknowledged = new HashMap<>();
        long limitMillis = Rig.nowMillis() + 20_000;
        while (Rig.nowMillis() < limitMillis && acknowledged.size() < JOBS) {
            for (String job : jobs) {
                if (!taken.contains(job) || acknowledged.containsKey(job)) continue;
                if (other.end(job).status() == 200) acknowledged.put(job, Rig.nowMillis());
            }
            Thread.sleep(20);
        }
        if (acknowledged.size() < JOBS) throw new Rig.CannotRun("only " + acknowledged.size() + " ends were acknowledged");
        Thread.sleep(22_000);
        rig.noteRuns();
        rig.noteLogs("event=job_", "event=member_");
        int late = 0;
        long lastLateMillis = 0;
        for (Runner.Run run : rig.runs()) {
            long ackMillis = acknowledged.get(run.item.substring(0, 16));
            // The core is stable contact_ms after the last lost answer.
            if (run.startMillis <= ackMillis + CANCEL_MILLIS || run.startMillis <= lastLostMillis[0] + CONTACT_MILLIS) continue;
            if (run.startMillis <= killedMillis + 2_000 + CONTACT_MILLIS) continue;
            late++;
            lastLateMillis = Math.max(lastLateMillis, run.startMillis - ackMillis);
        }
        rig.note("answers lost: " + lost.get() + " of the writes; ends acknowledged: " + acknowledged.size()
            + "; runs of items that began later than " + CANCEL_MILLIS + " ms after the ack: " + late + ", the last one "
            + lastLateMillis + " ms after it");
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
