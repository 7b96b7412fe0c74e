import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client that nobody controls sends many large batch jobs of legal size at once, some times in a row. Jobs may be refused,
 * but no process may end by itself, and ordinary callers still get answers.
 */
public final class LargeJobs {
    private static final int WAVES = 6;
    private static final long WAVE_MILLIS = 3_000;
    private static final int JOBS = 60;
    private static final int ITEMS = 200;
    private static final int ITEM_BODY_BYTES = 3_000;
    private static final long WATCH_MILLIS = 90_000;

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

    private static byte[] largeJob(int number) {
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            byte[] body = new byte[ITEM_BODY_BYTES];
            new Random(number * 1_000L + i).nextBytes(body);
            items.add(Rig.item(String.format("a%07x%08x", number, i), 5, body));
        }
        return Json.print(Json.of("items", items)).getBytes(StandardCharsets.UTF_8);
    }

    private static int play(Rig rig, boolean trouble) throws Exception {
        List<String> zones = List.of("dalton", "calhoun", "chatsworth");
        for (int i = 0; i < 12; i++) {
            new Runner(rig.store, "i-runner" + (i + 1), Rig.SERVICE, zones.get(i % 3), 4, rig.record);
        }
        rig.startNodes(zones);
        Rig.pause(4_000);

        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        if (trouble) {
            Http.daemon(() -> {
                for (int i = 0; i < WAVES * JOBS; i++) {
                    int number = i;
                    Node node = rig.nodes.get(i % 3);
                    Http.daemon(() -> {
                        int status = send(rig, node, number);
                        (status == 202 ? accepted : status == 0 ? unanswered : refused).incrementAndGet();
                    });
                    if (i % JOBS == JOBS - 1) Rig.pause(WAVE_MILLIS);
                }
            });
        }
        // An ordinary caller's jobs, at the rate of the sheet.
        AtomicInteger ordinary = new AtomicInteger();
        AtomicInteger ordinaryUnanswered = new AtomicInteger();
        long end = System.nanoTime() + WATCH_MILLIS * 1_000_000;
        long nextOrdinary = System.nanoTime();
        int ended = 0;
        Set<String> endedNodes = new HashSet<>();
        for (int number = 0; System.nanoTime() < end; ) {
            if (System.nanoTime() >= nextOrdinary) {
                nextOrdinary += 1_400_000_000L;
                String job = String.format("7c41e09b%08x", number);
                List<Object> items = new ArrayList<>();
                for (int i = 0; i < 10; i++) items.add(Rig.item(String.format("e5%08x%06x", number, i), 20, new byte[400]));
                Node node = rig.nodes.get(number++ % 3);
                Http.daemon(() -> {
                    ordinary.incrementAndGet();
                    if (rig.submit(node, job, items) == 0) ordinaryUnanswered.incrementAndGet();
                });
            }
            for (Node each : rig.nodes) {
                if (each.process.isAlive()) continue;
                ended++;
                endedNodes.add(each.name);
                rig.record.add("ENDED node=%s by itself with exit code %d", each.name, each.process.exitValue());
                Rig.pause(1_000);
                each.start();
            }
            Rig.pause(100);
        }
        rig.record.add("verdict: %d processes ended by themselves, on %d machines; of %d large jobs %d were accepted, %d "
            + "refused, %d not answered; %d of %d ordinary jobs were not answered", ended, endedNodes.size(),
            trouble ? WAVES * JOBS : 0, accepted.get(), refused.get(), unanswered.get(), ordinaryUnanswered.get(), ordinary.get());
        System.out.println(ended + " processes ended by themselves, on " + endedNodes.size() + " machines; "
            + ordinaryUnanswered + " of " + ordinary + " ordinary jobs were not answered");
        // On a tenth of the machines in use, two at least, processes end by themselves three times.
        return ended >= 3 && endedNodes.size() >= 2 ? 1 : 0;
    }

    private static int send(Rig rig, Node node, int number) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Rig.HOST);
        headers.put("X-Credential", Rig.KEY);
        headers.put("X-Request-Id", String.format("aaaa%012x", number));
        headers.put("Content-Type", "application/json");
        byte[] body = largeJob(number);
        int status = 0;
        try (Socket socket = Http.connect(node.front, 1_000)) {
            socket.setSoTimeout(20_000);
            Http.write(socket.getOutputStream(), "POST " + Rig.PREFIX + "x HTTP/1.1", headers, body);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            status = answer == null ? 0 : answer.status();
        } catch (IOException noAnswer) {
            status = 0;
        }
        rig.record.add("large job=%d node=%s bytes=%d answer=%d", number, node.name, body.length, status);
        return status;
    }
}
