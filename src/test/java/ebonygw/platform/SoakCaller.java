package ebonygw.platform;

import ebonygw.caller.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A caller of one entry that keeps its connection and checks every answer. */
final class SoakCaller implements Runnable {
    static final String BOOK = "book";
    static final String LOOK = "look";
    static final String ASK = "ask";

    private static final int ADAPTERS = 9;
    private static final int MOST_REQUESTS = 30;
    private static final long TIMEOUT_MILLIS = 3_000;

    /** How much later than its route's time an answer may come on a busy machine. */
    private static final long SLACK_MILLIS = 1_500;

    private static final long PAUSE_MILLIS = 20;
    private static final List<String> KINDS = List.of(BOOK, LOOK, ASK, ASK);

    private final String mName;
    private final InetSocketAddress mEntry;
    private final SoakLedger mLedger;
    private final Calm mCalm;
    private final SplittableRandom mRandom;
    private volatile boolean mStopped;
    private int mRequests;

    SoakCaller(String name, InetSocketAddress entry, SoakLedger ledger, Calm calm, long seed) {
        mName = name;
        mEntry = entry;
        mLedger = ledger;
        mCalm = calm;
        mRandom = new SplittableRandom(seed);
    }

    /** Tells whether nothing but planned stops has disturbed an entry since a time. */
    @FunctionalInterface
    interface Calm {
        boolean since(long nanos);
    }

    @Override
    public void run() {
        while (!mStopped) {
            try (RawCaller caller = new RawCaller(mEntry)) {
                boolean open = true;
                for (int i = 0; i < MOST_REQUESTS && open && !mStopped; i++) {
                    open = ask(caller, KINDS.get(mRandom.nextInt(KINDS.size())));
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            } catch (IOException unreachable) {
                mLedger.count("connection lost");
                pause();
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    /**
     * Sends one request and checks its answer.
     *
     * @return whether the connection may be used again
     */
    boolean ask(RawCaller caller, String kind) throws IOException {
        String id = mName + '-' + ++mRequests;
        String headers =
                "Attempt-Id: %s\r\nAuthorization: Bearer k1\r\nDeadline-Ms: %d\r\n"
                        .formatted(id, TIMEOUT_MILLIS);
        if (kind.equals(ASK)) {
            headers +=
                    "Model: %s/a%d\r\nToken-Usage: 100,12\r\nPrompt-Prefix: ab:50,%d:50\r\n"
                            .formatted(
                                    SoakReplica.MODEL, mRandom.nextInt(ADAPTERS), mRequests + 10);
        }
        mLedger.sent(id, kind);
        long sentNanos = System.nanoTime();
        caller.send(RawCaller.post('/' + kind + "/x", headers, "body of " + id));
        RawCaller.Answer answer = answer(caller, id, sentNanos);
        check(id, kind, answer, sentNanos);
        return !answer.head().contains("connection: close");
    }

    void stop() {
        mStopped = true;
    }

    private RawCaller.Answer answer(RawCaller caller, String id, long sentNanos)
            throws IOException {
        try {
            return caller.answer();
        } catch (IOException ended) {
            if (mLedger.hasRun(id) && mCalm.since(sentNanos)) {
                mLedger.broken("request " + id + " ran and got no answer: " + ended.getMessage());
            }
            throw ended;
        }
    }

    private void check(String id, String kind, RawCaller.Answer answer, long sentNanos) {
        int status = answer.status();
        mLedger.count(kind + ' ' + status);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        if (millis > TIMEOUT_MILLIS + SLACK_MILLIS && mCalm.since(sentNanos)) {
            mLedger.broken("request " + id + " was answered after " + millis + " ms");
        }
        String expected = kind.equals(ASK) ? events(id) : SoakLedger.body(id);
        if (status == 200) {
            boolean whole = answer.body().equals(expected);
            if (!whole || !answer.head().contains("server-signature: s-" + id)) {
                mLedger.broken("request " + id + " got another answer: " + answer);
            }
        } else if (status == 429 || status == 503 || status == 408 || status == 421) {
            mLedger.refused(id, status);
        } else if (status < 500) {
            mLedger.broken("request " + id + " was answered " + status);
        }
    }

    private static String events(String id) {
        StringBuilder events = new StringBuilder();
        for (int event = 1; event <= SoakReplica.EVENTS; event++) {
            events.append("id: ").append(event).append("\ndata: ").append(id).append(' ');
            events.append(event).append("\n\n");
        }
        return events.toString();
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(100);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
