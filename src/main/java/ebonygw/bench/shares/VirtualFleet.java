package ebonygw.bench.shares;

import ebonygw.admission.Admission;
import ebonygw.admission.AdmissionDecision;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.CustomerSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates a fleet of entry processes in virtual time, by a queue of events.
 *
 * <p>Each host's clock has an offset and a drift of its own; "true time" is the virtual time
 * without them, in nanoseconds. The network may lose, duplicate, delay and reorder messages. The
 * same seed gives the same run. Not thread-safe.
 */
final class VirtualFleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private static final long TICK_NANOS = 10 * MILLI;
    private static final long WARM_UP_NANOS = 3 * SECOND;

    /** After how long members are notified that a process was killed. */
    private static final long MEMBERSHIP_DELAY_NANOS = SECOND;

    /** After how long a process that does not run counts as gone instead of suspected. */
    private static final long GONE_AFTER_NANOS = 20 * SECOND;

    /** Maximum clock drift, below the 500 parts in a million that the share classes tolerate. */
    private static final double MAX_DRIFT = 400e-6;

    private static final double LOSS_PROBABILITY = 0.01;
    private static final double DUPLICATE_PROBABILITY = 0.01;
    private static final double LONG_DELAY_PROBABILITY = 0.002;
    private static final int REGIONS = 3;

    private final Random mRandom;
    private final EntryModel.Factory mFactory;
    private final boolean mFaultyNetwork;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Host> mHosts = new ArrayList<>();
    private final List<Process> mProcesses = new ArrayList<>();
    private final VirtualKeyValue mKeyValue = new VirtualKeyValue();
    private final Map<Long, Request> mRequests = new HashMap<>();
    private final Set<Long> mConnectedPairs = new HashSet<>();
    private final Set<Long> mBlockedPairs = new HashSet<>();
    private final Set<Host> mKeyValueBlocked = new HashSet<>();
    private final Traffic mTraffic;
    private VirtualSettings mSettings;
    private long mKeyValueDownUntil;
    private long mNow;
    private long mSequence;

    VirtualFleet(
            long seed,
            int entries,
            EntryModel.Factory factory,
            boolean faultyNetwork,
            Traffic traffic) {
        mRandom = new Random(seed);
        mFactory = factory;
        mFaultyNetwork = faultyNetwork;
        mTraffic = traffic;
        for (int i = 0; i < entries; i++) {
            mHosts.add(new Host(i));
        }
    }

    /** Schedules an action at a true time, at once if that has passed. */
    void schedule(long atNanos, Runnable action) {
        mSequence++;
        mEvents.add(new Event(Math.max(atNanos, mNow), mSequence, action));
    }

    /** Sends a request to a host, or to the next one whose process accepts requests. */
    void sendRequest(int host, Request request) {
        for (int i = 0; i < mHosts.size(); i++) {
            Process process = mHosts.get((host + i) % mHosts.size()).mProcess;
            if (process != null && process.mAlive && !process.mStopping) {
                mRequests.put(request.mId, request);
                process.run(() -> process.admit(request));
                return;
            }
        }
    }

    int entryCount() {
        return mHosts.size();
    }

    /** Blocks or unblocks all messages between two hosts. */
    void setPairBlocked(int a, int b, boolean blocked) {
        if (a == b) {
            return;
        }
        if (blocked) {
            mBlockedPairs.add(pairId(a, b));
        } else {
            mBlockedPairs.remove(pairId(a, b));
        }
        schedule(mNow + (blocked ? SECOND : 50 * MILLI), this::updateConnections);
    }

    /** Blocks or unblocks a host's requests to the key-value service. */
    void setKeyValueBlocked(int host, boolean blocked) {
        if (blocked) {
            mKeyValueBlocked.add(mHosts.get(host));
        } else {
            mKeyValueBlocked.remove(mHosts.get(host));
        }
    }

    /** Kills a host's process. */
    void kill(int host) {
        Process process = mHosts.get(host).mProcess;
        if (process != null) {
            process.mAlive = false;
            mHosts.get(host).mDownSince = mNow;
        }
        schedule(mNow + mRandom.nextInt(200) * MILLI, this::updateConnections);
        schedule(mNow + MEMBERSHIP_DELAY_NANOS, this::notifyMembers);
        schedule(mNow + GONE_AFTER_NANOS + SECOND, this::notifyMembers);
    }

    /** Pauses a host's process; events that reach it meanwhile run when it resumes. */
    void pause(int host, long nanos) {
        Process process = mHosts.get(host).mProcess;
        if (process == null || !process.mAlive || process.mPausedUntil > mNow) {
            return;
        }
        process.mPausedUntil = mNow + nanos;
        schedule(process.mPausedUntil, process::resume);
    }

    /** Starts a new process on a host; an older one may be paused and resume later. */
    void start(int host) {
        Host target = mHosts.get(host);
        target.mIncarnation++;
        Process process = new Process(target);
        target.mProcess = process;
        mProcesses.add(process);
        process.mAlive = true;
        notifyMembers();
        if (mSettings != null) {
            process.run(() -> process.mModel.onSettings(mSettings, process.clock(), process));
        }
        schedule(mNow + 20 * MILLI, this::updateConnections);
        schedule(mNow + mRandom.nextInt((int) TICK_NANOS), process::tick);
    }

    /** Runs until a true time. */
    void run(long untilNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().mAt <= untilNanos) {
            Event event = mEvents.poll();
            mNow = event.mAt;
            event.mAction.run();
        }
        mNow = untilNanos;
    }

    /** Returns whether a process runs, given as its name, {@code #} and its incarnation. */
    boolean isRunning(String process) {
        return mProcesses.stream()
                .anyMatch(
                        it -> it.mAlive && process.equals(it.mHost.mId + "#" + it.mOwnIncarnation));
    }

    /** Makes the key-value service fail for a duration. */
    void failKeyValue(long nanos) {
        mKeyValueDownUntil = Math.max(mKeyValueDownUntil, mNow + nanos);
    }

    /** Sends new settings to each running process, each after a random delay of up to 3 s. */
    void distributeSettings(Map<String, CustomerSettings> customers) {
        long revision = mSettings == null ? 1 : mSettings.revision() + 1;
        VirtualSettings settings = new VirtualSettings(revision, customers);
        mSettings = settings;
        for (Host host : mHosts) {
            Process process = host.mProcess;
            if (process != null) {
                schedule(
                        mNow + mRandom.nextInt(3_000) * MILLI,
                        () -> process.run(() -> process.onSettings(settings)));
            }
        }
    }

    /** Starts a new process on a host where none runs. */
    void startIfDown(int host) {
        Process process = mHosts.get(host).mProcess;
        if (process == null || !process.mAlive) {
            start(host);
        }
    }

    /** Stops a host's process gracefully; it ends once it has handed over what it holds. */
    void stop(int host) {
        Process process = mHosts.get(host).mProcess;
        if (process == null || !process.mAlive || process.mStopping) {
            return;
        }
        process.mStopping = true;
        notifyMembers();
        process.run(() -> process.mModel.stop(process.clock(), process));
    }

    long now() {
        return mNow;
    }

    Random random() {
        return mRandom;
    }

    /** Starts all processes with the given settings and runs for the warm-up time. */
    void warmUp(Map<String, CustomerSettings> customers) {
        mSettings = new VirtualSettings(1, customers);
        for (int i = 0; i < mHosts.size(); i++) {
            start(i);
        }
        run(WARM_UP_NANOS);
    }

    /** Returns the delay of a message: by region, with jitter, and rarely up to 15 s. */
    private long delay(Host from, Host to) {
        long base = from.mIndex % REGIONS == to.mIndex % REGIONS ? MILLI : 30 * MILLI;
        long jitter = (long) (mRandom.nextDouble() * base);
        if (mFaultyNetwork && mRandom.nextDouble() < LONG_DELAY_PROBABILITY) {
            return base + (long) (mRandom.nextDouble() * 15 * SECOND);
        }
        return base + jitter;
    }

    private Member member(Host host) {
        MemberState state = MemberState.LIVE;
        Process process = host.mProcess;
        if (process == null || !process.mAlive) {
            boolean gone = mNow - host.mDownSince > GONE_AFTER_NANOS;
            state = gone ? MemberState.GONE : MemberState.SUSPECTED;
        } else if (process.mStopping) {
            state = MemberState.LEAVING;
        } else if (process.mPausedUntil > mNow) {
            state = MemberState.SUSPECTED;
        }
        return host.member(state);
    }

    /** Returns a number for a pair of hosts, the same in either order. */
    private long pairId(int a, int b) {
        return (long) Math.min(a, b) * mHosts.size() + Math.max(a, b);
    }

    private void updateConnections() {
        for (Host a : mHosts) {
            for (Host b : mHosts) {
                if (a.mIndex < b.mIndex) {
                    updateConnection(a, b);
                }
            }
        }
    }

    /** Connects two hosts or removes their connection, and notifies both of each change. */
    private void updateConnection(Host a, Host b) {
        long pairId = pairId(a.mIndex, b.mIndex);
        long aIncarnation = a.mProcess != null && a.mProcess.mAlive ? a.mIncarnation : 0;
        long bIncarnation = b.mProcess != null && b.mProcess.mAlive ? b.mIncarnation : 0;
        boolean up = aIncarnation != 0 && bIncarnation != 0 && !mBlockedPairs.contains(pairId);
        boolean wasUp = mConnectedPairs.contains(pairId);
        boolean changed =
                a.connectedIncarnation(b) != bIncarnation
                        || b.connectedIncarnation(a) != aIncarnation;
        if (wasUp && (!up || changed)) {
            mConnectedPairs.remove(pairId);
            a.notifyPeer(b, a.connectedIncarnation(b), false);
            b.notifyPeer(a, b.connectedIncarnation(a), false);
        }
        if (up && (!wasUp || changed)) {
            mConnectedPairs.add(pairId);
            a.mConnectedIncarnations.put(b.mIndex, bIncarnation);
            b.mConnectedIncarnations.put(a.mIndex, aIncarnation);
            a.notifyPeer(b, bIncarnation, true);
            b.notifyPeer(a, aIncarnation, true);
        }
    }

    private void notifyMembers() {
        List<Member> members = mHosts.stream().map(this::member).toList();
        for (Host host : mHosts) {
            Process process = host.mProcess;
            if (process != null) {
                process.run(() -> process.mModel.onMembers(members, process.clock(), process));
            }
        }
    }

    private record Event(long mAt, long mSequence, Runnable mAction) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(mAt, other.mAt);
            return order != 0 ? order : Long.compare(mSequence, other.mSequence);
        }
    }

    /** A host on which one process of the same name runs after the other. */
    private final class Host {
        private final int mIndex;
        private final NodeId mId;
        private final Locality mLocality;
        private final double mClockDrift = (mRandom.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final long mClockOffset = mRandom.nextInt(1_000_000) * SECOND;

        /** Incarnations of the processes that this host is or was last connected to, by host. */
        private final Map<Integer, Long> mConnectedIncarnations = new HashMap<>();

        private Process mProcess;
        private long mIncarnation;
        private long mDownSince;

        private Host(int index) {
            mIndex = index;
            mId = new NodeId("entry-" + index);
            mLocality = new Locality("region-" + index % REGIONS, "dc-0");
        }

        private long connectedIncarnation(Host other) {
            return mConnectedIncarnations.getOrDefault(other.mIndex, 0L);
        }

        private Member member(MemberState state) {
            return new Member(
                    mId, mIncarnation, Role.ENTRY, state, mLocality, "127.0.0.1:" + mIndex, "");
        }

        private void notifyPeer(Host other, long incarnation, boolean up) {
            Process process = mProcess;
            if (process != null) {
                process.run(
                        () ->
                                process.mModel.onPeer(
                                        other.mId, incarnation, up, process.clock(), process));
            }
        }
    }

    /** One incarnation of an entry process, which also sends its messages. */
    private final class Process implements Outbox {
        private final Host mHost;
        private final long mOwnIncarnation;
        private final EntryModel mModel;

        /** Actions that wait until the process is no longer paused. */
        private final List<Runnable> mDeferredActions = new ArrayList<>();

        private boolean mAlive;
        private boolean mStopping;
        private long mPausedUntil;

        private Process(Host host) {
            mHost = host;
            mOwnIncarnation = host.mIncarnation;
            mModel = mFactory.create(host.member(MemberState.LIVE), mHosts.size());
        }

        @Override
        public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
            boolean down = mNow < mKeyValueDownUntil || mKeyValueBlocked.contains(mHost);
            boolean takesEffect = !down || mNow >= mKeyValueDownUntil && mRandom.nextInt(8) == 0;
            boolean responds = !down && (!mFaultyNetwork || mRandom.nextInt(50) != 0);
            long arrivesAt = mNow + (1 + mRandom.nextInt(4)) * MILLI;
            schedule(
                    arrivesAt,
                    () -> {
                        KeyValueResponse result =
                                new KeyValueResponse.Failed(
                                        true, "no response from the key-value service");
                        if (takesEffect) {
                            KeyValueResponse applied = mKeyValue.apply(request);
                            result = responds ? applied : result;
                        }
                        KeyValueResponse response = result;
                        long responseDelay = responds ? 2 * MILLI : SECOND;
                        schedule(
                                mNow + responseDelay,
                                () -> run(() -> onKeyValueResponse(requestId, response)));
                    });
        }

        @Override
        public void send(NodeId to, Message message) {
            mTraffic.onMessage();
            Host target = mHosts.get(Integer.parseInt(to.name().substring("entry-".length())));
            if (mBlockedPairs.contains(pairId(mHost.mIndex, target.mIndex))) {
                return;
            }
            if (mFaultyNetwork && mRandom.nextDouble() < LOSS_PROBABILITY) {
                return;
            }
            int copies = mFaultyNetwork && mRandom.nextDouble() < DUPLICATE_PROBABILITY ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                schedule(mNow + delay(mHost, target), () -> deliver(target, message));
            }
        }

        private void admit(Request request) {
            long deadline = clock() + 10 * SECOND;
            Admission admission =
                    mModel.admit(
                            request.mId,
                            request.mCustomer,
                            request.mChargedTokens,
                            deadline,
                            clock(),
                            this);
            if (admission.outcome() != Admission.Outcome.WAITING) {
                onDecision(request, admission);
            }
            applyDecisions();
        }

        /** Returns the time of the host's own clock. */
        private long clock() {
            return mHost.mClockOffset + (long) (mNow * (1 + mHost.mClockDrift));
        }

        private void applyDecisions() {
            for (AdmissionDecision decision : mModel.decisions()) {
                onDecision(mRequests.get(decision.requestId()), decision.admission());
            }
        }

        private void onDecision(Request request, Admission admission) {
            mRequests.remove(request.mId);
            boolean admitted = admission.outcome() == Admission.Outcome.ADMITTED;
            mTraffic.onDecided(request, admitted, mNow);
            if (admitted) {
                schedule(mNow + request.mDurationNanos, () -> run(() -> settle(request)));
            }
        }

        private void deliver(Host target, Message message) {
            Process process = target.mProcess;
            if (process != null) {
                process.run(
                        () -> {
                            process.mModel.onMessage(
                                    mHost.mId, mOwnIncarnation, message, process.clock(), process);
                            process.applyDecisions();
                        });
            }
        }

        private void onKeyValueResponse(long requestId, KeyValueResponse response) {
            mModel.onKeyValueResponse(requestId, response, clock(), this);
        }

        private void onSettings(VirtualSettings settings) {
            if (settings == mSettings) {
                mModel.onSettings(settings, clock(), this);
            }
        }

        private void resume() {
            List<Runnable> actions = List.copyOf(mDeferredActions);
            mDeferredActions.clear();
            actions.forEach(Runnable::run);
        }

        /** Runs an action of the process: at once, when it resumes, or never if it has ended. */
        private void run(Runnable action) {
            if (!mAlive) {
                return;
            }
            if (mPausedUntil > mNow) {
                mDeferredActions.add(action);
                return;
            }
            action.run();
        }

        private void settle(Request request) {
            mModel.settle(
                    request.mId,
                    request.mCustomer,
                    request.mChargedTokens,
                    request.mUsedTokens,
                    clock(),
                    this);
            applyDecisions();
        }

        private void tick() {
            if (!mAlive) {
                return;
            }
            run(
                    () -> {
                        mModel.onTick(clock(), this);
                        applyDecisions();
                        if (mStopping && mModel.isHandedOver() && mHost.mProcess == this) {
                            kill(mHost.mIndex);
                        }
                    });
            schedule(mPausedUntil > mNow ? mPausedUntil : mNow + TICK_NANOS, this::tick);
        }
    }
}
