import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** LOST: one body without end, of one run of one batch item, ends the entry process and cuts its callers' streams. */
final class EndlessBody {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int CLIENTS = 12;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], EndlessBody::run);
    }

    private static int run(Rig rig) throws Exception {
        rig.addRunners(3, Runner.SLOTS, 176, 65, 6);
        rig.start(2, 4_700);
        Rig.Entry entry = rig.entries.get(0);
        List<StreamClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            StreamClient client = new StreamClient(rig, entry.frontPort, String.format("9c41d07%02x", i));
            clients.add(client);
            Thread thread = new Thread(client);
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(4_000);
        String item = JOB + "0003";
        // Whichever runner gets the item first is the one in trouble, and only this once.
        if (rig.hasTrouble) for (Runner runner : rig.runners) runner.endlessItem = item;
        if (entry.submit(JOB, rig.items(JOB, 10)).status() != 202) throw new Rig.CannotRun("the job was not accepted");
        boolean wasSent = Rig.await(5_000, () -> rig.runners.stream().anyMatch(runner -> runner.endlessBytes > 0));
        for (Runner runner : rig.runners) runner.endlessItem = null;
        if (rig.hasTrouble && !wasSent) throw new Rig.CannotRun("no runner got the item");
        Rig.await(20_000, () -> !entry.isAlive());
        rig.note("process of " + entry.name + (entry.isAlive() ? " runs" : " has ended by itself, exit code " + entry.exitCode()));
        Thread.sleep(1_000);
        for (StreamClient client : clients) client.isStopped = true;
        Thread.sleep(2_000);
        // Rule LOST counts requests of kept connections that were passed on to a sound runner.
        Set<String> ranSound = new HashSet<>();
        for (Runner runner : rig.runners) {
            if (runner.endlessBytes > 0) continue;
            for (Runner.Run run : runner.runs) ranSound.add(run.item);
        }
        int lost = 0;
        int answered = 0;
        for (StreamClient client : clients) {
            answered += client.answered;
            if (client.unanswered != null && ranSound.contains(client.unanswered)) lost++;
        }
        rig.noteRuns();
        rig.noteLogs("event=started", "event=job_", "OutOfMemory");
        long bytes = rig.runners.stream().mapToLong(runner -> runner.endlessBytes).sum();
        rig.note("bytes of the body without end: " + bytes + "; streams answered: " + answered
            + "; streams on kept connections that had reached a sound runner and were cut: " + lost);
        if (answered < CLIENTS) throw new Rig.CannotRun("the clients were not served");
        return lost > 3 ? Rig.BROKEN : Rig.HELD;
    }
}
