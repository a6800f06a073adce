import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case: callers send bodies of the greatest length that the operator's limits allow, all at once.
 *
 * <p>One entry, two replicas of a plain service, requests of an idempotent route. Without the
 * trouble the same callers come a few at a time.
 */
public final class LargeBodies {
    /** As many as the clients of atlas-fit, ten in each of three zones. */
    private static final int CALLERS = 30;
    private static final int BURSTS = 2;
    private static final int FEW = 4;
    private static final int LATER = 5;
    private static final long WORK_MILLIS = 100;
    private static final long TIMEOUT_MILLIS = 4_000;
    private static final long SLACK_MILLIS = 500;
    private static final long DEADLINE_MILLIS = 8_000;

    /** The rule counts from so many requests that last longer than the timeout. */
    private static final int LEAST = 8;

    private LargeBodies() {}

    public static void main(String[] args) {
        Case.main(args, LargeBodies::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Store store = new Store(Fleet.NETWORK + "1");
                Fleet fleet = new Fleet(store.address(), record);
                Replica one = replica("i-1", 11, record);
                Replica two = replica("i-2", 12, record)) {
            store.put("op/config", Site.config(64, 360));
            store.put("servers/i-1", one.registration());
            store.put("servers/i-2", two.registration());
            String ip = Fleet.NETWORK + "21";
            Process entry = fleet.entry(ip);
            if (!Fleet.awaitReady(ip, 30_000)) {
                record.add("the entry did not become ready");
                return Case.CANNOT_RUN;
            }
            Thread.sleep(6_000);
            byte[] body = new byte[Site.MAX_BODY_BYTES];
            List<Caller> callers = new ArrayList<>();
            List<Caller> open = new ArrayList<>();
            for (int i = 0; i < BURSTS * CALLERS; i++) {
                // All callers of a burst at once, or a few at a time.
                boolean full = trouble ? i % CALLERS == 0 : open.size() >= FEW;
                while (full && !open.isEmpty() && (trouble || open.size() >= FEW)) {
                    Thread.sleep(10);
                    open.removeIf(Caller::isDone);
                }
                Caller caller = caller("c" + i, ip, body, record);
                callers.add(caller);
                open.add(caller);
            }
            while (!callers.stream().allMatch(Caller::isDone)) {
                Thread.sleep(50);
            }
            record.add(
                    "the entry %s, its readiness check answers %d",
                    entry.isAlive() ? "runs" : "has ended", Fleet.readiness(ip));
            int status = judge(callers, record);
            // For the record only: one caller at a time, long after all others have gone.
            Map<String, Integer> outcomes = new TreeMap<>();
            for (int i = 0; i < LATER; i++) {
                Caller caller = caller("later" + i, ip, body, record);
                while (!caller.isDone()) {
                    Thread.sleep(10);
                }
                outcomes.merge(caller.mHow, 1, Integer::sum);
            }
            record.add("one caller at a time, later: %s", outcomes);
            System.out.println("one caller at a time, later: " + outcomes);
            return status;
        }
    }

    private static Replica replica(String id, int host, Record record) throws IOException {
        String ip = Fleet.NETWORK + host;
        return new Replica(ip, id, "desk", false, 6, 0, WORK_MILLIS, record);
    }

    private static Caller caller(String id, String ip, byte[] body, Record record) {
        Map<String, String> fields = Map.of("Content-Type", "application/octet-stream");
        return new Caller(id, ip, "POST", "/look/x", fields, body, DEADLINE_MILLIS, record).start();
    }

    private static int judge(List<Caller> callers, Record record) {
        int longer = 0;
        int silent = 0;
        Map<String, Integer> outcomes = new TreeMap<>();
        for (Caller caller : callers) {
            outcomes.merge(caller.mHow, 1, Integer::sum);
            boolean sent = caller.mSent >= 0;
            if (sent && caller.mEnd - caller.mSent > TIMEOUT_MILLIS) {
                longer++;
                boolean answered = caller.mComplete || caller.mStatus != 0;
                boolean inTime =
                        answered && caller.mEnd - caller.mSent <= TIMEOUT_MILLIS + SLACK_MILLIS;
                silent += inTime ? 0 : 1;
            }
        }
        record.add("callers: %s", outcomes);
        record.add(
                "CONFIG: unanswered at timeout_ms after their last byte: %d; without an answer"
                        + " %d ms later: %d",
                longer, SLACK_MILLIS, silent);
        System.out.println(outcomes + ", unanswered at timeout_ms " + longer + ", later " + silent);
        return longer >= LEAST && 2 * silent > longer ? Case.BROKEN : Case.HELD;
    }
}
