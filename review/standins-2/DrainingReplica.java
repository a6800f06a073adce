import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case: a replica is replaced while callers are queued for it in an entry.
 *
 * <p>Four entries, two engines with the slots and connections of the pages' example. Callers that one
 * entry got ask for streams. Then a third engine registers, the first one reports that it is
 * draining, and the store acknowledges it. The first one exits some seconds after drain_ms.
 */
public final class DrainingReplica {
    private static final int SLOTS = 64;
    private static final int CONNECTIONS = 360;
    private static final int CALLERS = 210;
    private static final int ENTRIES = 4;
    private static final int EVENTS = 24;
    private static final long EVENT_MILLIS = 250;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long EXIT_MILLIS = 9_000;
    private static final long FLEET_MILLIS = 9_000;

    private DrainingReplica() {}

    public static void main(String[] args) {
        Case.main(args, DrainingReplica::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Store store = new Store(Fleet.NETWORK + "1");
                Fleet fleet = new Fleet(store.address(), record);
                Replica old = replica("i-old", 11, record);
                Replica other = replica("i-other", 13, record);
                Replica fresh = replica("i-new", 12, record)) {
            store.put("op/config", Site.config(SLOTS, CONNECTIONS));
            store.put("servers/i-old", old.registration());
            store.put("servers/i-other", other.registration());
            for (int i = 0; i < ENTRIES; i++) {
                fleet.entry(Fleet.NETWORK + (21 + i));
            }
            fleet.loader("models", old.address());
            fleet.loader("models", other.address());
            fleet.loader("models", fresh.address());
            for (int i = 0; i < ENTRIES; i++) {
                if (!Fleet.awaitReady(Fleet.NETWORK + (21 + i), 30_000)) {
                    record.add("an entry did not become ready");
                    return Case.CANNOT_RUN;
                }
            }
            // All entries see each other, and have for longer than contact_ms.
            Thread.sleep(FLEET_MILLIS);
            List<Caller> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(stream("c" + i, record));
                Thread.sleep(5);
            }
            Thread.sleep(500);
            long acknowledged = Long.MAX_VALUE / 2;
            if (trouble) {
                store.put("servers/i-new", fresh.registration());
                record.add("store: i-new is registered");
                Thread.sleep(500);
                old.setDraining();
                store.put("servers/i-old", old.registration());
                acknowledged = record.now();
                record.add("store: i-old drains, acknowledged");
            }
            long end = record.now() + 2 * DEADLINE_MILLIS;
            boolean exited = false;
            while (record.now() < end && !callers.stream().allMatch(Caller::isDone)) {
                Thread.sleep(50);
                if (!exited && record.now() > acknowledged + EXIT_MILLIS) {
                    exited = true;
                    record.add("i-old exits");
                    old.close();
                }
            }
            return judge(callers, old, fresh, acknowledged, record);
        }
    }

    private static Replica replica(String id, int host, Record record) throws IOException {
        return new Replica(
                Fleet.NETWORK + host, id, "models", true, SLOTS, EVENTS, EVENT_MILLIS, record);
    }

    private static Caller stream(String id, Record record) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Model", Replica.MODEL);
        fields.put("Token-Usage", "820,90");
        fields.put("Prompt-Prefix", "aa01:198,b" + id.substring(1) + ":622");
        return new Caller(
                        id,
                        Fleet.NETWORK + "21",
                        "POST",
                        "/draft/x",
                        fields,
                        new byte[1_700],
                        DEADLINE_MILLIS,
                        record)
                .start();
    }

    private static int judge(
            List<Caller> callers, Replica old, Replica fresh, long acknowledged, Record record) {
        int late = 0;
        int lost = 0;
        Map<String, Integer> outcomes = new TreeMap<>();
        for (Caller caller : callers) {
            outcomes.merge(caller.mHow, 1, Integer::sum);
            Replica.Seen seen = old.mSeen.get(caller.mId);
            if (seen != null && seen.mArrived > acknowledged + DRAIN_MILLIS) {
                late++;
                lost += caller.mComplete ? 0 : 1;
                record.add(
                        "DRAIN: %s reached i-old %d ms after the ack; caller: %s",
                        caller.mId, seen.mArrived - acknowledged, caller.mHow);
            }
        }
        record.add("callers: %s", outcomes);
        record.add("reached i-new: %d", fresh.mSeen.size());
        record.add("reached i-old later than drain_ms after the ack: %d, lost: %d", late, lost);
        System.out.println(
                outcomes + ", late at i-old " + late + " of which lost " + lost
                        + ", at i-new " + fresh.mSeen.size());
        return late > 0 ? Case.BROKEN : Case.HELD;
    }
}
