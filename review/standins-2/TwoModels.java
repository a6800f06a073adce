import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case: a replica that holds two models is asked for several adapters of one of them.
 *
 * <p>One entry, one engine with its loader. The engine starts with both models of the config, which
 * leave room for six adapters. Callers ask for eight adapters, each of them for one; without the
 * trouble for six.
 */
public final class TwoModels {
    private static final int BUSY_MODEL_MB = 27_000;
    private static final int OTHER_MODEL_MB = 7_600;
    private static final int WEIGHTS_MB = 35_000;
    private static final int ADAPTER_MB = 66;
    private static final int ROOM = (WEIGHTS_MB - BUSY_MODEL_MB - OTHER_MODEL_MB) / ADAPTER_MB;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final int TRIES = 5;
    private static final int EVENTS = 24;
    private static final long EVENT_MILLIS = 250;

    private TwoModels() {}

    public static void main(String[] args) {
        Case.main(args, TwoModels::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Store store = new Store(Fleet.NETWORK + "1");
                Fleet fleet = new Fleet(store.address(), record);
                Replica engine = engine(record)) {
            store.put("op/config", config());
            store.put("servers/i-1", engine.registration());
            String ip = Fleet.NETWORK + "21";
            fleet.entry(ip);
            fleet.loader("models", engine.address());
            if (!Fleet.awaitReady(ip, 30_000)) {
                record.add("the entry did not become ready");
                return Case.CANNOT_RUN;
            }
            Thread.sleep(6_000);
            // The entry and the loader see each other once a first adapter has been loaded.
            for (int i = 0; !firstIsServed(ip, i, record); i++) {
                if (i == TRIES) {
                    record.add("the first adapter is not served");
                    return Case.CANNOT_RUN;
                }
                Thread.sleep(1_000);
            }
            List<Caller> callers = new ArrayList<>();
            int adapters = trouble ? Replica.ADAPTER_SLOTS : ROOM;
            for (int i = 1; i <= adapters; i++) {
                callers.add(caller("c" + i, ip, "m0/a" + i, record));
            }
            long end = record.now() + 2 * DEADLINE_MILLIS;
            while (record.now() < end && !callers.stream().allMatch(Caller::isDone)) {
                Thread.sleep(50);
            }
            Map<String, Integer> outcomes = new TreeMap<>();
            callers.forEach(caller -> outcomes.merge(caller.mHow, 1, Integer::sum));
            record.add("callers: %s", outcomes);
            String overload = engine.mOverload;
            if (!overload.isEmpty()) {
                record.add("LIMIT: the load of %s was for more than weights_mb", overload);
            }
            System.out.println(
                    outcomes + (overload.isEmpty() ? "" : ", crashed under the load of " + overload));
            boolean served = callers.stream().allMatch(caller -> caller.mStatus == 200);
            if (!trouble && !served) {
                record.add("not all were served, though nothing happened");
                return Case.CANNOT_RUN;
            }
            return overload.isEmpty() ? Case.HELD : Case.BROKEN;
        }
    }

    private static boolean firstIsServed(String ip, int number, Record record)
            throws InterruptedException {
        Caller first = caller("first" + number, ip, "m0/a1", record);
        while (!first.isDone()) {
            Thread.sleep(20);
        }
        return first.mStatus == 200;
    }

    private static Caller caller(String id, String ip, String adapter, Record record) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Model", adapter);
        fields.put("Token-Usage", "820,90");
        fields.put("Prompt-Prefix", "aa01:198,b" + id.substring(1) + ":622");
        byte[] body = new byte[1_700];
        return new Caller(id, ip, "POST", "/draft/x", fields, body, DEADLINE_MILLIS, record).start();
    }

    private static Replica engine(Record record) throws IOException {
        Replica engine =
                new Replica(Fleet.NETWORK + "11", "i-1", "models", true, 64, EVENTS,
                        EVENT_MILLIS, record);
        Map<String, Integer> models = Map.of("m0", BUSY_MODEL_MB, "m1", OTHER_MODEL_MB);
        engine.setWeights(models, ADAPTER_MB, WEIGHTS_MB);
        return engine;
    }

    private static String config() {
        String model =
                "{\"name\":\"%s\",\"weights_mb\":%d.0,\"load_s\":2.1,\"adapters\":3000,"
                        + "\"adapter_mb\":%d.0}";
        String models =
                String.format(model, "m0", BUSY_MODEL_MB, ADAPTER_MB)
                        + ","
                        + String.format(model, "m1", OTHER_MODEL_MB, ADAPTER_MB);
        return Site.config(64, 360)
                .replaceFirst("\"weights_mb\":74700.0", "\"weights_mb\":" + WEIGHTS_MB + ".0")
                .replaceFirst("(?s)\"models\":\\[.*?\\]", "\"models\":[" + models + "]");
    }
}
