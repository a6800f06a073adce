import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case: a part of a prompt crashes replicas after a minute without other traffic.
 *
 * <p>One entry, four engines with their loaders. All prompts begin with the same part, as those of one
 * application do. Sound callers come, then nobody for a while; then callers whose prompts hold a part
 * that crashes replicas, and after the crashes sound callers again.
 */
public final class CrashingPart {
    private static final String FIRST_PART = "aa01";
    private static final String CRASHING_PART = "f00d";
    private static final int ENGINES = 4;
    private static final int CRASHES = 3;
    private static final int SOUND = 24;
    private static final int EVENTS = 8;
    private static final long EVENT_MILLIS = 100;
    private static final long QUIET_MILLIS = 62_000;
    private static final long CRASH_GAP_MILLIS = 1_000;
    private static final long BACK_MILLIS = 2_500;
    private static final long CONTACT_MILLIS = 4_000;

    private CrashingPart() {}

    public static void main(String[] args) {
        Case.main(args, CrashingPart::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        List<Replica> engines = new ArrayList<>();
        try (Store store = new Store(Fleet.NETWORK + "1");
                Fleet fleet = new Fleet(store.address(), record)) {
            store.put("op/config", Site.config(64, 360));
            for (int i = 0; i < ENGINES; i++) {
                Replica engine = engine(store, 11 + i, record);
                engines.add(engine);
                store.put("servers/" + engine.id(), engine.registration());
                fleet.loader("models", engine.address());
            }
            String ip = Fleet.NETWORK + "21";
            fleet.entry(ip);
            if (!Fleet.awaitReady(ip, 30_000)) {
                record.add("the entry did not become ready");
                return Case.CANNOT_RUN;
            }
            Thread.sleep(4_500);
            List<Caller> before = sound("before", ip, record);
            record.add("nobody comes for %d ms", QUIET_MILLIS);
            Thread.sleep(QUIET_MILLIS);
            for (int i = 0; i < CRASHES && trouble; i++) {
                caller("bad" + i, CRASHING_PART + ":300,", ip, record);
                Thread.sleep(CRASH_GAP_MILLIS);
            }
            Thread.sleep(2 * CONTACT_MILLIS + 500);
            if (trouble) {
                caller("bad-still", CRASHING_PART + ":300,", ip, record);
            }
            List<Caller> after = sound("after", ip, record);
            if (trouble) {
                caller("bad-end", CRASHING_PART + ":300,", ip, record);
            }
            int begunBefore = begun(before, engines);
            int begunAfter = begun(after, engines);
            Map<String, Integer> outcomes = new TreeMap<>();
            after.forEach(caller -> outcomes.merge(caller.mHow, 1, Integer::sum));
            record.add("LOST: of %d sound requests began %d before", SOUND, begunBefore);
            record.add("LOST: of %d sound requests began %d after: %s", SOUND, begunAfter, outcomes);
            System.out.println(
                    "of " + SOUND + " began " + begunBefore + " before, " + begunAfter + " after, "
                            + outcomes);
            if (begunBefore < SOUND / 2) {
                return Case.CANNOT_RUN;
            }
            return 2 * begunAfter < begunBefore ? Case.BROKEN : Case.HELD;
        } finally {
            engines.forEach(Replica::close);
        }
    }

    /** Returns an engine that is back, empty and under another id, some seconds after a crash. */
    private static Replica engine(Store store, int host, Record record) throws IOException {
        String name = "i-" + host;
        Replica engine =
                new Replica(
                        Fleet.NETWORK + host, name, "models", true, 64, EVENTS, EVENT_MILLIS, record);
        engine.setCrashing(
                CRASHING_PART,
                () -> HttpPeer.thread(() -> startAgain(store, engine, record)));
        return engine;
    }

    private static void startAgain(Store store, Replica engine, Record record) {
        String former = engine.id();
        Record.pause(BACK_MILLIS);
        try {
            engine.startAgain(former + "x");
        } catch (IOException cannotListen) {
            record.add("%s cannot start again: %s", former, cannotListen);
            return;
        }
        store.remove("servers/" + former);
        for (int i = 0; i < 10; i++) {
            // Its entry changes when the model is there.
            store.put("servers/" + engine.id(), engine.registration());
            Record.pause(400);
        }
    }

    private static List<Caller> sound(String name, String ip, Record record) throws Exception {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < SOUND; i++) {
            callers.add(caller(name + i, "", ip, record));
            Thread.sleep(100);
        }
        while (!callers.stream().allMatch(Caller::isDone)) {
            Thread.sleep(20);
        }
        return callers;
    }

    private static Caller caller(String id, String part, String ip, Record record) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Model", Replica.MODEL);
        fields.put("Token-Usage", "1120,90");
        String last = Integer.toHexString(0xb0000 + Math.floorMod(id.hashCode(), 0xffff));
        fields.put("Prompt-Prefix", FIRST_PART + ":198," + part + last + ":622");
        byte[] body = new byte[1_700];
        return new Caller(id, ip, "POST", "/draft/x", fields, body, 5_000, record).start();
    }

    private static int begun(List<Caller> callers, List<Replica> engines) {
        int begun = 0;
        for (Caller caller : callers) {
            for (Replica engine : engines) {
                Replica.Seen seen = engine.mSeen.get(caller.mId);
                if (seen != null && seen.mBegun >= 0) {
                    begun++;
                    break;
                }
            }
        }
        return begun;
    }
}
