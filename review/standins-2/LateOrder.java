import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case: an order of before a restart is carried out after it.
 *
 * <p>One entry, one engine with its loader. Callers ask for eight adapters, which fill the engine,
 * then for a ninth; the loader unloads one and orders the ninth. That order gets no answer and is
 * carried out late. Meanwhile the engine crashes and is back under its id, and the callers ask again.
 */
public final class LateOrder {
    private static final long LATE_MILLIS = 8_000;
    private static final long BACK_MILLIS = 1_000;
    private static final long DEADLINE_MILLIS = 12_000;
    private static final int EVENTS = 24;
    private static final long EVENT_MILLIS = 100;

    private LateOrder() {}

    public static void main(String[] args) {
        Case.main(args, LateOrder::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        String address = Fleet.NETWORK + "11";
        try (Store store = new Store(Fleet.NETWORK + "1");
                Fleet fleet = new Fleet(store.address(), record);
                Replica engine =
                        new Replica(
                                address, "i-1", "models", true, 64, EVENTS, EVENT_MILLIS, record)) {
            store.put("op/config", Site.config(64, 360));
            store.put("servers/i-1", engine.registration());
            String ip = Fleet.NETWORK + "21";
            fleet.entry(ip);
            fleet.loader("models", engine.address());
            if (!Fleet.awaitReady(ip, 30_000)) {
                record.add("the entry did not become ready");
                return Case.CANNOT_RUN;
            }
            Thread.sleep(6_000);
            List<Caller> first = eight("first", ip, record);
            if (!first.stream().allMatch(caller -> caller.mStatus == 200)) {
                return Case.CANNOT_RUN;
            }
            Thread.sleep(500);
            if (trouble) {
                engine.setLate(LATE_MILLIS);
            }
            Caller ninth = caller("ninth", "m0/a9", ip, record);
            while (!ninth.isDone() && ninth.mFirst < 0) {
                Thread.sleep(10);
            }
            if (trouble) {
                record.add("i-1 crashes");
                engine.end();
                Thread.sleep(BACK_MILLIS);
                engine.startAgain("i-1");
                for (int i = 0; i < 5; i++) {
                    // Its entry changes when the model is there.
                    store.put("servers/i-1", engine.registration());
                    Thread.sleep(400);
                }
            }
            List<Caller> again = eight("again", ip, record);
            Thread.sleep(1_000);
            List<Caller> last = eight("last", ip, record);
            Map<String, Integer> outcomes = new TreeMap<>();
            again.forEach(caller -> outcomes.merge(caller.mHow, 1, Integer::sum));
            last.forEach(caller -> outcomes.merge(caller.mHow, 1, Integer::sum));
            String overload = engine.mOverload;
            record.add("callers after the restart: %s", outcomes);
            if (!overload.isEmpty()) {
                record.add("LIMIT: the load of %s was for more than adapter_slots", overload);
            }
            System.out.println(
                    outcomes + (overload.isEmpty() ? "" : ", crashed under the load of " + overload));
            return overload.isEmpty() ? Case.HELD : Case.BROKEN;
        }
    }

    /** Has a caller ask for each of eight adapters; returns when all have ended. */
    private static List<Caller> eight(String name, String ip, Record record) throws Exception {
        List<Caller> callers = new ArrayList<>();
        for (int i = 1; i <= Replica.ADAPTER_SLOTS; i++) {
            callers.add(caller(name + i, "m0/a" + i, ip, record));
        }
        while (!callers.stream().allMatch(Caller::isDone)) {
            Thread.sleep(20);
        }
        return callers;
    }

    private static Caller caller(String id, String adapter, String ip, Record record) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Model", adapter);
        fields.put("Token-Usage", "820,90");
        byte[] body = new byte[1_700];
        return new Caller(id, ip, "POST", "/draft/x", fields, body, DEADLINE_MILLIS, record).start();
    }
}
