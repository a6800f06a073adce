package ebonygw;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.CallerRequest;
import ebonygw.request.Payload;
import ebonygw.request.RequestMessage;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.Edit;
import ebonygw.settings.Field;
import ebonygw.settings.FieldValue;
import ebonygw.settings.FieldValue.Flag;
import ebonygw.settings.FieldValue.Names;
import ebonygw.settings.FieldValue.Text;
import ebonygw.settings.FieldValue.Whole;
import ebonygw.settings.KeySettings;
import ebonygw.settings.NodeKey;
import ebonygw.settings.SettingsChange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A simulated fleet in virtual time: an entry process, two engines and two replicas of a plain
 * service, with checks of the invariants.
 */
final class NodeFleet {
    static final long MILLI = 1_000_000L;
    static final long STEP_NANOS = 10 * MILLI;
    static final List<String> TARGETS = List.of("engine-1", "engine-2", "booking-1", "booking-2");
    static final long BURST = 20_000;
    static final long RATE = 2_000;
    private static final long CONNECT_INTERVAL_NANOS = 100 * MILLI;

    /** How long all processes are ready before the next planned stop. */
    private static final long MIN_READY_NANOS = 2_000 * MILLI;

    /** A connection to a process that is frozen for longer breaks. */
    private static final long MAX_IDLE_NANOS = 2_000 * MILLI;

    /** Maximum time until a process that leaves receives no new work. */
    private static final long MAX_LEAVE_NOTICE_NANOS = 3_000 * MILLI;

    /** Maximum time until no request of a withdrawn key is sent to a target. */
    private static final long MAX_WITHDRAWAL_NANOS = 5_000 * MILLI;

    private static final NodeKey ROOT = NodeKey.parse("organisation/atlas");

    final FaultInjectingKeyValueStore mKeyValue;
    final Map<String, FakeEngine> mEngines = new TreeMap<>();
    final Map<String, FakeTarget> mTargets = new TreeMap<>();
    final List<FakeEntry> mEntries = new ArrayList<>();
    final Map<String, Long> mCutUntilNanos = new HashMap<>();
    final List<String> mViolations = new ArrayList<>();
    FakeEntry mEntry;
    long mNowNanos = 1_000_000_000_000L;
    ChangeOutcome mOutcome;
    private final Random mRandom;
    private final Map<String, Long> mFrozenSinceNanos = new HashMap<>();
    private final Map<String, Long> mRestartNanos = new TreeMap<>();
    private final long mStartNanos;
    private long mIncarnation = 1;
    private long mReadySinceNanos = Long.MAX_VALUE;
    private long mNextExchange = 1;
    private long mExecutedCharge;
    private long mWithdrawnNanos = Long.MAX_VALUE;
    private boolean mWithdrawing;

    NodeFleet(long seed) {
        mRandom = new Random(seed);
        mKeyValue = new FaultInjectingKeyValueStore(new InMemoryKeyValueStore(), mRandom);
        for (String name : TARGETS) {
            mEngines.put(name, new FakeEngine(name, isModel(name), mRandom));
            startTarget(name);
        }
        startEntry();
        advance(500 * MILLI);
        mEntry.change(new SettingsChange("base", "ada", "", -1, 0, edits()));
        advance(1_500 * MILLI);
        assertThat(mOutcome).isInstanceOf(ChangeOutcome.Accepted.class);
        advance(1_500 * MILLI);
        mStartNanos = mNowNanos;
    }

    /** Sends a caller's request; every second one is a booking, which is not idempotent. */
    void sendRequest() {
        long exchange = mNextExchange++;
        boolean booking = exchange % 2 == 0;
        int key = mRandom.nextInt(2);
        String adapter = "a" + mRandom.nextInt(6) + "@" + (1 + mRandom.nextInt(2));
        Payload payload =
                new Payload(
                        "POST", "/" + mEntries.size() + "/" + exchange, Map.of(), ByteString.EMPTY);
        mEntry.request(
                exchange,
                new CallerRequest(
                        hash(key),
                        booking ? "book" : "chat",
                        booking ? "" : adapter,
                        50,
                        50,
                        0,
                        true,
                        0,
                        payload));
    }

    /** Asserts that no invariant has been violated so far. */
    void check() {
        mEngines.values().forEach(engine -> mViolations.addAll(engine.mViolations));
        Map<String, Integer> runs = new HashMap<>();
        for (FakeEngine engine : mEngines.values()) {
            for (FakeEngine.Execution execution : engine.mExecutions) {
                runs.merge(execution.work().payload().path(), 1, Integer::sum);
            }
        }
        for (FakeEntry entry : mEntries) {
            entry.mCallers.values().forEach(caller -> check(caller, runs));
        }
        assertThat(mViolations).isEmpty();
    }

    /** Asserts that each request of the current entry has ended for its caller. */
    void checkSettled() {
        mEntry.mCallers.forEach(
                (exchange, caller) ->
                        assertThat(caller.settled()).as("exchange %s", exchange).isTrue());
    }

    /** Records that a target process sends a request to its target; checks that it may. */
    void executed(FakeTarget target, Work work) {
        mExecutedCharge += work.charge();
        long allowed = BURST + RATE * (mNowNanos - mStartNanos) / 1_000_000_000L;
        if (mExecutedCharge > 2 * allowed) {
            mViolations.add(
                    "executed charge " + mExecutedCharge + " exceeds twice the allowed " + allowed);
        }
        if (work.keyId().equals("k1") && mNowNanos - mWithdrawnNanos > MAX_WITHDRAWAL_NANOS) {
            mViolations.add("request " + work.id() + " of a withdrawn key runs at " + target.id());
        }
        if (!work.customer().equals("c" + work.keyId().charAt(1))) {
            mViolations.add("customer " + work.customer() + " for key " + work.keyId());
        }
    }

    void freeze(FakeNode node, boolean frozen) {
        node.mFrozen = frozen;
        if (frozen) {
            mFrozenSinceNanos.put(node.id().name(), mNowNanos);
        } else {
            mFrozenSinceNanos.remove(node.id().name());
        }
    }

    /** Kills a target process without a graceful leave; a new one starts after a delay. */
    void kill(String name, long restartNanos) {
        FakeTarget target = mTargets.get(name);
        if (!target.mDead) {
            end(target);
            mRestartNanos.put(name, mNowNanos + restartNanos);
        }
    }

    void killEntry() {
        end(mEntry);
        mEntry.mCallers.values().forEach(caller -> caller.mCallerGone |= !caller.settled());
        startEntry();
    }

    void advance(long nanos) {
        long endNanos = mNowNanos + nanos;
        while (mNowNanos < endNanos) {
            step();
        }
    }

    /** Checks that a message may be sent on this connection. */
    void sent(FakeNode from, FakeNode to, Message message) {
        boolean afterGracePeriod = mNowNanos - to.mStopRequestedNanos > MAX_LEAVE_NOTICE_NANOS;
        if (message instanceof RequestMessage.Run
                && afterGracePeriod
                && to.mStopRequestedNanos < mNowNanos) {
            mViolations.add("new work sent to the leaving process " + to.id());
        }
        if (message.toString().contains(hash(0)) && to instanceof FakeTarget) {
            mViolations.add("an API key hash was sent to " + to.id());
        }
    }

    /**
     * Returns whether all processes have been ready long enough for a rolling update to continue.
     */
    boolean readyForNextStop() {
        boolean ready = mEntry.mNode.ready();
        for (FakeTarget target : mTargets.values()) {
            ready &= !target.mDead && target.mNode.ready();
        }
        if (!ready) {
            mReadySinceNanos = Long.MAX_VALUE;
        } else if (mReadySinceNanos == Long.MAX_VALUE) {
            mReadySinceNanos = mNowNanos;
        }
        return ready && mNowNanos - mReadySinceNanos >= MIN_READY_NANOS;
    }

    void settled(ChangeOutcome outcome) {
        mOutcome = outcome;
        if (mWithdrawing && outcome instanceof ChangeOutcome.Accepted) {
            mWithdrawnNanos = Math.min(mWithdrawnNanos, mNowNanos);
        }
    }

    void stop(FakeNode node) {
        if (node.mStopRequestedNanos == Long.MAX_VALUE && !node.mDead) {
            node.mStopRequestedNanos = mNowNanos;
            node.mInbox.add(node::requestStop);
        }
    }

    /** Stops the entry and starts its successor, which receives all new requests. */
    void replaceEntry() {
        stop(mEntry);
        startEntry();
    }

    void withdrawKey() {
        if (!mWithdrawing) {
            mWithdrawing = true;
            mEntry.change(
                    new SettingsChange(
                            "withdraw", "ada", "", -1, 0, List.of(new Edit.WithdrawKey("k1"))));
        }
    }

    private void check(FakeEntry.CallerState caller, Map<String, Integer> runs) {
        String path = caller.mRequest.payload().path();
        int count = runs.getOrDefault(path, 0);
        if (caller.mRequest.route().equals("book") && count > 1) {
            mViolations.add(path + " ran " + count + " times");
        }
        boolean notRun = caller.mRefusal != null && caller.mRefusal.verdict() == Verdict.NOT_RUN;
        if (notRun && count > 0) {
            mViolations.add(path + " was refused as not run, but ran: " + caller.mRefusal);
        }
        String response = "[" + path + "#0][" + path + "#1][" + path + "#2]";
        if (caller.mEnded && !caller.mResponse.toString().equals(response)) {
            mViolations.add(path + " completed with the response " + caller.mResponse);
        }
        if (!response.startsWith(caller.mResponse.toString())) {
            mViolations.add(path + " received parts of another response: " + caller.mResponse);
        }
    }

    /** Opens or breaks the connection between two processes, as their states require. */
    private void connect(FakeNode one, FakeNode other) {
        boolean usable = !one.mDead && !other.mDead && !isCut(one) && !isCut(other);
        boolean idle = isIdleTooLong(one) || isIdleTooLong(other);
        boolean connected = one.mConnections.get(other.id()) == other;
        if (connected && (!usable || idle)) {
            one.disconnect(other);
            other.disconnect(one);
        } else if (!connected && usable && !idle && !one.mFrozen && !other.mFrozen) {
            dropPrevious(one, other);
            dropPrevious(other, one);
            one.connect(other);
            other.connect(one);
        }
    }

    private static void dropPrevious(FakeNode node, FakeNode peer) {
        FakeNode previous = node.mConnections.get(peer.id());
        if (previous != null) {
            node.disconnect(previous);
        }
    }

    private void connectAll() {
        List<FakeNode> nodes = new ArrayList<>(mEntries);
        nodes.addAll(mTargets.values());
        for (int i = 0; i < nodes.size(); i++) {
            for (int j = 0; j < i; j++) {
                connect(nodes.get(i), nodes.get(j));
            }
        }
    }

    private List<Edit> edits() {
        Map<Field, FieldValue> limits =
                Map.of(Field.RATE, new Whole(RATE), Field.BURST, new Whole(BURST));
        List<Edit> edits = new ArrayList<>();
        edits.add(new Edit.Create(ROOT, null, limits));
        for (int i = 0; i < 2; i++) {
            edits.add(new Edit.Create(NodeKey.parse("customer/c" + i), ROOT, Map.of()));
            edits.add(
                    new Edit.IssueKey(new KeySettings("k" + i, "c" + i, hash(i), Long.MAX_VALUE)));
        }
        edits.add(target("llama", "llama"));
        edits.add(target("booking", "booking"));
        edits.add(
                new Edit.Create(
                        NodeKey.parse("route/chat"),
                        ROOT,
                        Map.of(
                                Field.MODEL, new Text("llama"),
                                Field.IDEMPOTENT, new Flag(true),
                                Field.TIMEOUT_MILLIS, new Whole(20_000))));
        edits.add(
                new Edit.Create(
                        NodeKey.parse("route/book"),
                        ROOT,
                        Map.of(
                                Field.SERVICE, new Text("booking"),
                                Field.TIMEOUT_MILLIS, new Whole(20_000))));
        for (int i = 0; i < 6; i++) {
            edits.add(
                    new Edit.Create(
                            NodeKey.parse("adapter/a" + i),
                            ROOT,
                            Map.of(
                                    Field.MODEL, new Text("llama"),
                                    Field.VERSIONS, new Names(Set.of("1", "2")),
                                    Field.DEFAULT_VERSION, new Text("1"))));
        }
        return edits;
    }

    private void end(FakeNode node) {
        node.mDead = true;
        node.mInbox.clear();
        mFrozenSinceNanos.remove(node.id().name());
        mKeyValue.dropClient(node.id().name() + node.mSelf.incarnation());
        if (node instanceof FakeTarget target) {
            target.mEngine.attach(event -> {});
        }
    }

    private static String hash(int key) {
        return ("" + key).repeat(64);
    }

    private boolean isCut(FakeNode node) {
        return mCutUntilNanos.getOrDefault(node.id().name(), 0L) > mNowNanos;
    }

    private static boolean isModel(String name) {
        return name.startsWith("engine");
    }

    private boolean isIdleTooLong(FakeNode node) {
        Long since = mFrozenSinceNanos.get(node.id().name());
        return since != null && mNowNanos - since > MAX_IDLE_NANOS;
    }

    private Member member(String name, Role role, String serves) {
        return new Member(
                new NodeId(name),
                mIncarnation++,
                role,
                MemberState.JOINING,
                new Locality("fes", "a"),
                "10.0.0." + (1 + Math.abs(name.hashCode() % 200)) + ":7000",
                serves);
    }

    private void startEntry() {
        mEntry =
                new FakeEntry(
                        this,
                        member("entry-" + (mEntries.size() + 1), Role.ENTRY, ""),
                        mRandom.nextLong());
        mEntries.add(mEntry);
    }

    private void startTarget(String name) {
        String serves = isModel(name) ? "llama" : "booking";
        mTargets.put(
                name,
                new FakeTarget(
                        this,
                        member(name, Role.TARGET, serves),
                        isModel(name),
                        mEngines.get(name),
                        mRandom.nextLong()));
    }

    private void step() {
        mNowNanos += STEP_NANOS;
        readyForNextStop();
        mKeyValue.advance(mNowNanos);
        for (String name : List.copyOf(mRestartNanos.keySet())) {
            if (mNowNanos >= mRestartNanos.get(name)) {
                mRestartNanos.remove(name);
                startTarget(name);
            }
        }
        if (mNowNanos / STEP_NANOS % (CONNECT_INTERVAL_NANOS / STEP_NANOS) == 0) {
            connectAll();
        }
        mEngines.values().forEach(engine -> engine.tick(mNowNanos));
        mTargets.values().forEach(this::run);
        mEntries.forEach(this::run);
    }

    private void run(FakeNode node) {
        node.run();
        if (node.mExited && !node.mDead) {
            end(node);
            if (node instanceof FakeTarget) {
                mRestartNanos.put(node.id().name(), mNowNanos + 200 * MILLI);
            }
        }
        if (node.revision() < node.mLastRevision) {
            mViolations.add(
                    "settings revision of " + node.id() + " decreased to " + node.revision());
        }
        node.mLastRevision = node.revision();
    }

    private static Edit target(String name, String serves) {
        return new Edit.Create(
                NodeKey.parse("target/" + name), ROOT, Map.of(Field.SERVES, new Text(serves)));
    }
}
