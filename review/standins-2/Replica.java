import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound replica: an engine that holds one model, or a plain service. It runs as many requests at
 * once as it has slots, queues a few more and refuses the rest.
 */
final class Replica implements Closeable {
    /** What a replica has seen of a request; times are those of the record. */
    static final class Seen {
        volatile long mArrived = -1;
        volatile long mBegun = -1;
        volatile long mEnded = -1;
        volatile String mHow = "";
    }

    static final String MODEL = "m0";

    final Map<String, Seen> mSeen = new ConcurrentHashMap<>();
    private final Map<String, String> mParts = new ConcurrentHashMap<>();
    private volatile String mId;
    private final String mService;
    private final boolean mEngine;
    private final int mSlots;
    private final int mEvents;
    private final long mEventMillis;
    private final Record mRecord;
    private final HttpPeer mPeer;
    private final Semaphore mFree;
    private final AtomicInteger mWaiting = new AtomicInteger();
    private volatile long mBorn = System.currentTimeMillis();

    /** Number of its start; what ran before an end is broken off. */
    private volatile int mBoot;

    /** Part of a prompt under which it crashes when it begins to answer, empty for none. */
    private volatile String mCrashingPart = "";

    /** Called when it has crashed. */
    private volatile Runnable mOnCrash = () -> {};

    /** Until when a model is being loaded, by an order. */
    private volatile long mModelLoaded = -1;

    private static final long MODEL_MILLIS = 840;
    private volatile boolean mDraining;

    /** What an engine can hold, and the time that an adapter takes to load. */
    static final int ADAPTER_SLOTS = 8;

    private static final long ADAPTER_MILLIS = 250;

    /** Megabytes of the models that it holds, of an adapter, and of all that it has room for. */
    private Map<String, Integer> mModels = new TreeMap<>(Map.of(MODEL, 72_700));

    private int mAdapterMegabytes = 66;
    private int mWeightsMegabytes = 74_700;

    /** When each adapter, named MODEL/ADAPTER, is loaded. */
    private final Map<String, Long> mAdapters = new TreeMap<>();

    private volatile AtomicBoolean mLateDue = new AtomicBoolean();
    private String mLateAdapter = "";
    private final List<String> mLoaded = new ArrayList<>();

    /** Whether an adapter was unloaded since the last start. */
    private boolean mUnloaded;

    private volatile long mLateMillis;
    private long mSequence;
    private long mFencingToken;

    /** The order that was for more than it holds, under which it crashed; empty if there is none. */
    volatile String mOverload = "";

    Replica(
            String ip,
            String id,
            String service,
            boolean engine,
            int slots,
            int events,
            long eventMillis,
            Record record)
            throws IOException {
        mId = id;
        mService = service;
        mEngine = engine;
        mSlots = slots;
        mEvents = events;
        mEventMillis = eventMillis;
        mRecord = record;
        mFree = new Semaphore(slots, true);
        mPeer = new HttpPeer(ip, this::handle);
    }

    String id() {
        return mId;
    }

    String address() {
        return mPeer.address();
    }

    void setDraining() {
        mDraining = true;
    }

    /** Sets the part under which it crashes, and what happens then. */
    void setCrashing(String part, Runnable onCrash) {
        mCrashingPart = part;
        mOnCrash = onCrash;
    }

    /** The process ends, whatever it is running. */
    void end() {
        mBoot++;
        mPeer.close();
    }

    /** The process starts again, empty, under an id. */
    synchronized void startAgain(String id) throws IOException {
        mId = id;
        mBorn = System.currentTimeMillis();
        mModels = new TreeMap<>();
        mModelLoaded = -1;
        mAdapters.clear();
        mLoaded.clear();
        mUnloaded = false;
        mSequence = 0;
        mFencingToken = 0;
        mPeer.open();
        mRecord.add("%s: starts, empty", mId);
    }

    /** The process ends, whatever it is running. */
    @Override
    public void close() {
        mPeer.close();
    }

    /** Returns its entry in the store. */
    String registration() {
        return String.format(
                "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":1,"
                        + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":0,"
                        + "\"born\":%d,\"models\":%s}",
                mService, address(), mSlots, mDraining ? "draining" : "ready", mBorn, models());
    }

    /** Sets what an engine holds and has room for. */
    synchronized void setWeights(Map<String, Integer> models, int adapter, int weights) {
        mModels = new TreeMap<>(models);
        mAdapterMegabytes = adapter;
        mWeightsMegabytes = weights;
    }

    private synchronized String models() {
        if (mModelLoaded >= 0 && mModelLoaded <= mRecord.now()) {
            mModels.put(MODEL, 72_700);
            mModelLoaded = -1;
        }
        List<String> models = new ArrayList<>();
        if (mEngine) {
            for (String model : mModels.keySet()) {
                List<String> adapters = new ArrayList<>();
                mAdapters.forEach(
                        (name, loaded) -> {
                            if (name.startsWith(model + "/") && loaded <= mRecord.now()) {
                                adapters.add('"' + name.substring(model.length() + 1) + "@1\"");
                            }
                        });
                models.add(
                        String.format(
                                "{\"name\":\"%s\",\"version\":1,\"adapters\":[%s]}",
                                model, String.join(",", adapters)));
            }
        }
        return "[" + String.join(",", models) + "]";
    }

    private synchronized String pending() {
        List<String> pending = new ArrayList<>();
        mAdapters.forEach(
                (name, loaded) -> {
                    if (loaded > mRecord.now()) {
                        pending.add('"' + name + "@1\"");
                    }
                });
        return "[" + String.join(",", pending) + "]";
    }

    /**
     * Sets that one load of an adapter is carried out late: the first one for the place that an
     * unload has made.
     *
     * @param due whether that is still to come; shared by all replicas of a case
     */
    void setLate(AtomicBoolean due, long millis) {
        mLateMillis = millis;
        mLateDue = due;
    }

    private synchronized boolean isLate(Map<String, Object> order) {
        boolean late =
                mUnloaded
                        && order.get("adapter") != null
                        && "loading".equals(order.get("operation"))
                        && mLateDue.compareAndSet(true, false);
        mLateAdapter = late ? order.get("model") + "/" + order.get("adapter") : mLateAdapter;
        return late;
    }

    /** Returns the adapter whose load is late here, empty if there is none. */
    synchronized String lateAdapter() {
        return mLateAdapter;
    }

    /** Returns the adapters that were loaded here since the last start, in order. */
    synchronized List<String> loaded() {
        return List.copyOf(mLoaded);
    }

    /** Returns whether all places for adapters are taken. */
    synchronized boolean isFull() {
        return mAdapters.size() >= ADAPTER_SLOTS;
    }

    private void crashIfOverloaded() {
        if (!mOverload.isEmpty()) {
            mRecord.add("%s: crashes under the load of %s", mId, mOverload);
            end();
        }
    }

    /** Carries out an order for an adapter; returns the status of the answer. */
    private synchronized int order(HttpPeer.Head head, Map<String, Object> order) {
        String expected = head.field("expect-instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            return 421;
        }
        long token = Json.number(order, "fencing_token", -1);
        if (token < 0 || order.get("owner") == null) {
            return 400;
        }
        if (token < mFencingToken) {
            return 412;
        }
        mFencingToken = token;
        if (Json.number(order, "precondition", mSequence) != mSequence) {
            return 409;
        }
        if (order.get("adapter") == null) {
            return orderModel(order);
        }
        String name = order.get("model") + "/" + order.get("adapter");
        if ("unloading".equals(order.get("operation"))) {
            mSequence++;
            mAdapters.remove(name);
            mUnloaded = true;
            mRecord.add("%s: ordered to unload %s", mId, name);
            return 200;
        }
        if (mAdapters.containsKey(name)) {
            return 200;
        }
        mSequence++;
        mAdapters.put(name, mRecord.now() + ADAPTER_MILLIS);
        mLoaded.add(name);
        int megabytes = mAdapters.size() * mAdapterMegabytes;
        for (int model : mModels.values()) {
            megabytes += model;
        }
        mRecord.add(
                "%s: ordered to load %s, holds %d of %d MB and %d of %d adapters",
                mId, name, megabytes, mWeightsMegabytes, mAdapters.size(), ADAPTER_SLOTS);
        if (megabytes > mWeightsMegabytes || mAdapters.size() > ADAPTER_SLOTS) {
            mOverload = name;
        }
        return 202;
    }

    private int orderModel(Map<String, Object> order) {
        models();
        if (mModelLoaded >= 0) {
            return 409;
        }
        if (!MODEL.equals(order.get("model")) || !"loading".equals(order.get("operation"))) {
            return 400;
        }
        if (mModels.containsKey(MODEL)) {
            return 200;
        }
        mSequence++;
        mModelLoaded = mRecord.now() + MODEL_MILLIS;
        mRecord.add("%s: ordered to load %s", mId, MODEL);
        return 202;
    }

    private synchronized boolean holds(String model) {
        models();
        return model.isEmpty()
                || mModels.containsKey(model)
                || mAdapters.getOrDefault(model, Long.MAX_VALUE) <= mRecord.now();
    }

    private synchronized long sequence() {
        return mSequence;
    }

    private int running() {
        return mSlots - mFree.availablePermits();
    }

    private boolean handle(HttpPeer.Head head, byte[] body, HttpPeer.Connection connection)
            throws Exception {
        if (head.path().equals("/report")) {
            String report =
                    String.format(
                            "{\"stage\":\"mixed\",\"born\":%d,\"models\":%s,\"busy\":%s,"
                                    + "\"sequence\":%d,\"queued\":%d,\"active\":%d,\"kv_used\":0,"
                                    + "\"kv_total\":200000,\"handles\":0,\"pending\":%s,"
                                    + "\"runs\":[]}",
                            mBorn, models(), mModelLoaded >= 0, sequence(), mWaiting.get(), running(),
                            pending());
            Map<String, String> fields = new TreeMap<>();
            fields.put("Content-Type", "application/json");
            sayIfLeaving(fields);
            connection.json(200, fields, report);
            return true;
        }
        if (head.path().equals("/order")) {
            String text = new String(body, StandardCharsets.UTF_8);
            if (isLate(Json.object(text))) {
                // It gets no answer and is carried out later, whatever has happened since.
                mRecord.add("%s: an order gets no answer: %s", mId, text);
                HttpPeer.thread(
                        () -> {
                            Record.pause(mLateMillis);
                            int status = order(head, Json.object(text));
                            mRecord.add("%s: the late order is carried out, %d", mId, status);
                            crashIfOverloaded();
                        });
                Record.pause(2_000);
                return false;
            }
            connection.json(order(head, Json.object(text)), Map.of(), "{}");
            crashIfOverloaded();
            return true;
        }
        if (head.path().equals("/healthz")) {
            Map<String, String> fields = new TreeMap<>();
            fields.put("Instance-Id", mId);
            sayIfLeaving(fields);
            connection.json(mDraining ? 503 : 200, fields, "");
            return true;
        }
        return serve(head, body, connection);
    }

    /** A replica that leaves says so in all its answers. */
    private void sayIfLeaving(Map<String, String> fields) {
        if (mDraining) {
            fields.put("Server-Leaving", "1");
        }
    }

    private boolean serve(HttpPeer.Head head, byte[] body, HttpPeer.Connection connection)
            throws Exception {
        String id = head.field("attempt-id");
        long arrived = System.nanoTime();
        Seen seen = mSeen.computeIfAbsent(id, x -> new Seen());
        seen.mArrived = mRecord.now();
        Map<String, String> fields = new TreeMap<>();
        fields.put("Attempt-Id", id);
        sayIfLeaving(fields);
        if (mEngine || mSlots > 0) {
            fields.put("Instance-Load", running() + "," + mWaiting.get() + "," + mSlots);
        }
        String expected = head.field("expect-instance");
        boolean foreign =
                !expected.isEmpty() && !expected.equals(mId) || !holds(head.field("model"));
        if (foreign || mWaiting.get() >= 3 * mSlots) {
            fields.put("Not-Executed", "1");
            mRecord.add("%s: %s not run", mId, id);
            connection.json(foreign ? 421 : 503, fields, "");
            return true;
        }
        mParts.put(id, head.field("prompt-prefix"));
        mRecord.add("%s: %s arrives%s", mId, id, mDraining ? " (while it drains)" : "");
        String deadline = head.field("deadline-ms");
        long left = deadline.isEmpty() ? 60_000 : Long.parseLong(deadline);
        mWaiting.incrementAndGet();
        boolean slot = mFree.tryAcquire(left, TimeUnit.MILLISECONDS);
        mWaiting.decrementAndGet();
        if (!slot) {
            fields.put("Not-Executed", "1");
            connection.json(503, fields, "");
            return true;
        }
        try {
            return run(id, seen, arrived + left * 1_000_000, fields, body, connection);
        } finally {
            mFree.release();
        }
    }

    private boolean run(
            String id,
            Seen seen,
            long endNanos,
            Map<String, String> fields,
            byte[] body,
            HttpPeer.Connection connection)
            throws Exception {
        if (connection.isClosedByPeer()) {
            seen.mHow = "closed before it began";
            return false;
        }
        int boot = mBoot;
        seen.mBegun = mRecord.now();
        mRecord.add("%s: %s begins", mId, id);
        sayIfLeaving(fields);
        fields.put("Server-Signature", "sig." + id);
        if (mEvents == 0) {
            Thread.sleep(mEventMillis);
            seen.mEnded = mRecord.now();
            byte[] answer = ("done " + id + " " + body.length).getBytes(StandardCharsets.UTF_8);
            connection.send(200, fields, answer);
            return true;
        }
        fields.put("Content-Type", "text/event-stream");
        fields.put("Transfer-Encoding", "chunked");
        String head = HttpPeer.Connection.head(200, fields) + "\r\n";
        connection.mOut.write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (!mCrashingPart.isEmpty() && mParts.get(id).contains(mCrashingPart + ":")) {
            Record.pause(20);
            mRecord.add("%s: crashes under %s", mId, id);
            end();
            mOnCrash.run();
            return false;
        }
        for (int event = 1; event <= mEvents; event++) {
            Thread.sleep(mEventMillis);
            if (System.nanoTime() - endNanos > 0 || connection.isClosedByPeer() || boot != mBoot) {
                seen.mHow = "broken off after event " + (event - 1);
                mRecord.add("%s: %s %s", mId, id, seen.mHow);
                return false;
            }
            String text = "id: " + event + "\ndata: " + id + " " + event + "\n\n";
            String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
            connection.mOut.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
            connection.mOut.flush();
        }
        connection.mOut.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        connection.mOut.flush();
        seen.mEnded = mRecord.now();
        mRecord.add("%s: %s ends", mId, id);
        return true;
    }
}
