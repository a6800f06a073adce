import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Case: an order of before a restart is carried out after it.
 *
 * <p>One entry, four engines with their loaders. Callers ask for one adapter after the other, until a
 * loader unloads one to load the next. That load gets no answer and is carried out late. Meanwhile the
 * engine crashes and is back under its id, and callers ask again for what it held.
 */
public final class LateOrder {
    private static final int ENGINES = 4;
    private static final int MAX_ADAPTERS = 60;
    private static final long LATE_MILLIS = 11_500;
    private static final long DOWN_MILLIS = 2_000;
    private static final long DEADLINE_MILLIS = 6_000;
    private static final int EVENTS = 2;
    private static final long EVENT_MILLIS = 50;

    private LateOrder() {}

    public static void main(String[] args) {
        Case.main(args, LateOrder::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        List<Replica> engines = new ArrayList<>();
        try (Store store = new Store(Fleet.NETWORK + "1");
                Fleet fleet = new Fleet(store.address(), record)) {
            store.put("op/config", Site.config(64, 360));
            AtomicBoolean late = new AtomicBoolean(trouble);
            for (int i = 0; i < ENGINES; i++) {
                String address = Fleet.NETWORK + (11 + i);
                Replica engine =
                        new Replica(
                                address, "i-" + i, "models", true, 64, EVENTS, EVENT_MILLIS, record);
                engines.add(engine);
                engine.setLate(late, LATE_MILLIS);
                store.put("servers/i-" + i, engine.registration());
                fleet.loader("models", engine.address());
            }
            String ip = Fleet.NETWORK + "21";
            fleet.entry(ip);
            if (!Fleet.awaitReady(ip, 30_000)) {
                record.add("the entry did not become ready");
                return Case.CANNOT_RUN;
            }
            Thread.sleep(6_000);
            Optional<Replica> concerned = Optional.empty();
            for (int i = 1; i <= MAX_ADAPTERS && concerned.isEmpty(); i++) {
                ask("first" + i, "m0/a" + i, ip, record);
                concerned =
                        engines.stream().filter(it -> !it.lateAdapter().isEmpty()).findFirst();
            }
            if (trouble && concerned.isEmpty()) {
                record.add("no loader has unloaded an adapter");
                return Case.CANNOT_RUN;
            }
            if (concerned.isPresent()) {
                restart(concerned.get(), store, ip, record);
            }
            String overload = "";
            for (Replica engine : engines) {
                overload += engine.mOverload;
            }
            if (!overload.isEmpty()) {
                record.add("LIMIT: the load of %s was for more than adapter_slots", overload);
            }
            System.out.println(
                    overload.isEmpty() ? "no overload" : "crashed under the load of " + overload);
            return overload.isEmpty() ? Case.HELD : Case.BROKEN;
        } finally {
            engines.forEach(Replica::close);
        }
    }

    /** Crashes an engine and starts it again, and has callers ask for what it held. */
    private static void restart(Replica engine, Store store, String ip, Record record)
            throws Exception {
        long end = record.now() + LATE_MILLIS;
        List<String> held = new ArrayList<>(engine.loaded());
        held.remove(engine.lateAdapter());
        record.add("%s crashes", engine.id());
        engine.end();
        Thread.sleep(DOWN_MILLIS);
        engine.startAgain(engine.id());
        for (int i = 0; i < 8; i++) {
            // Its entry changes when the model is there.
            store.put("servers/" + engine.id(), engine.registration());
            Thread.sleep(300);
        }
        for (int i = 0; i < MAX_ADAPTERS && !engine.isFull() && record.now() < end; i++) {
            String adapter = i < held.size() ? held.get(i) : "m0/b" + i;
            ask("again" + i, adapter, ip, record);
        }
        while (record.now() < end + 500) {
            Thread.sleep(50);
        }
        Caller last = ask("last", held.get(0), ip, record);
        record.add("the caller after that: %s", last.mHow);
    }

    /** Has a caller ask for an adapter; returns when it has ended. */
    private static Caller ask(String id, String adapter, String ip, Record record)
            throws InterruptedException {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Model", adapter);
        fields.put("Token-Usage", "820,90");
        byte[] body = new byte[1_700];
        Caller caller =
                new Caller(id, ip, "POST", "/draft/x", fields, body, DEADLINE_MILLIS, record);
        caller.start();
        while (!caller.isDone()) {
            Thread.sleep(5);
        }
        return caller;
    }
}
