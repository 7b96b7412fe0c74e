import java.util.List;
import java.util.Map;

/** LOST: results of one batch job pile up while the platform's store is down, and are never stored afterwards. */
final class LargeResults {
    private static final int ITEMS = 200;
    private static final long DOWN_MILLIS = 4_500;
    private static final long FINISH_MILLIS = 18_000;
    private static final String JOB = "7c41e09b52d6a3f8";

    public static void main(String[] arguments) {
        Rig.main(arguments[0], LargeResults::run);
    }

    private static int run(Rig rig) throws Exception {
        // As on the sheet: 13 runners with 8 slots, 176 events of 65 bytes; a step takes 3.82 ms and more.
        rig.addRunners(13, Runner.SLOTS, 176, 65, 5);
        rig.start(2, 4_700);
        Rig.Entry entry = rig.entries.get(0);
        if (entry.submit(JOB, rig.items(JOB, ITEMS)).status() != 202) throw new Rig.CannotRun("the job was not accepted");
        Thread.sleep(2_000);
        if (rig.hasTrouble) {
            rig.store.setBusy(true);
            rig.note("the platform's store is down: 503 to every call");
            Thread.sleep(DOWN_MILLIS);
            rig.store.setBusy(false);
            rig.note("the platform's store is back");
        } else {
            Thread.sleep(DOWN_MILLIS);
        }
        // No more traffic: the job has finish_s.
        long endMillis = Rig.nowMillis() + FINISH_MILLIS;
        int listed = 0;
        while (Rig.nowMillis() < endMillis) {
            Map<String, Map<String, Object>> results = rig.results(entry, JOB);
            if (results != null && results.size() != listed) rig.note("listed: " + (listed = results.size()) + " of " + ITEMS);
            Thread.sleep(500);
        }
        Map<String, Map<String, Object>> results = rig.results(entry, JOB);
        Map<String, Map<String, Object>> elsewhere = rig.results(rig.entries.get(1), JOB);
        rig.noteRuns();
        rig.noteLogs("event=job_", "event=results_stored", "event=items_given_up");
        if (results == null || elsewhere == null) throw new Rig.CannotRun("the job could not be read");
        long lastRunMillis = rig.runs().stream().mapToLong(run -> run.endMillis == 0 ? Long.MAX_VALUE : run.endMillis).max().orElse(0);
        long completed = rig.runs().stream().filter(run -> run.isComplete).map(run -> run.item).distinct().count();
        int unlisted = ITEMS - Math.max(results.size(), elsewhere.size());
        rig.note("items whose run a runner completed: " + completed + "; listed: " + results.size() + " and " + elsewhere.size()
            + "; the last run ended " + (lastRunMillis == Long.MAX_VALUE ? "not" : Rig.nowMillis() - lastRunMillis + " ms ago")
            + "; writes that the store rejected as too large: " + rig.store.tooLarge);
        for (Map.Entry<String, Map<String, Object>> result : results.entrySet()) {
            if (!result.getValue().get("state").equals("completed")) rig.note("not completed: " + result);
        }
        // The rule's excuses: runners with an unlisted item in the last 5 s, or items finished in the last 3 s.
        if (unlisted > 0 && Rig.nowMillis() - lastRunMillis < 5_000) throw new Rig.CannotRun("a runner had an item in the last 5 s");
        return unlisted > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
