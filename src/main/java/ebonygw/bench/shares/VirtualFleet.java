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
 * Entry processes in virtual time, with clocks that differ, over links that lose, double, delay and
 * reorder messages.
 *
 * <p>The same seed gives the same run. Not thread-safe.
 */
final class VirtualFleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private static final long TICK_NANOS = 10 * MILLI;
    private static final long WARM_UP_NANOS = 3 * SECOND;
    private static final long MEMBER_LAG_NANOS = SECOND;
    private static final long GONE_NANOS = 20 * SECOND;
    private static final double MAX_DRIFT = 400e-6;
    private static final double LOSS = 0.01;
    private static final double DOUBLED = 0.01;
    private static final double LATE = 0.002;
    private static final int REGIONS = 3;

    private final Random mRandom;
    private final EntryModel.Factory mFactory;
    private final boolean mLossy;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Host> mHosts = new ArrayList<>();
    private final List<Process> mProcesses = new ArrayList<>();
    private final VirtualKeyValue mKeyValue = new VirtualKeyValue();
    private final Map<Long, Request> mRequests = new HashMap<>();
    private final Set<Long> mLinks = new HashSet<>();
    private final Set<Long> mBlocked = new HashSet<>();
    private final Set<Host> mCutFromService = new HashSet<>();
    private final Traffic mTraffic;
    private VirtualSettings mSettings;
    private long mServiceDownUntil;
    private long mNow;
    private long mSequence;

    VirtualFleet(
            long seed, int entries, EntryModel.Factory factory, boolean lossy, Traffic traffic) {
        mRandom = new Random(seed);
        mFactory = factory;
        mLossy = lossy;
        mTraffic = traffic;
        for (int i = 0; i < entries; i++) {
            mHosts.add(new Host(i));
        }
    }

    /** Does something at a true time. */
    void at(long atNanos, Runnable action) {
        mSequence++;
        mEvents.add(new Event(Math.max(atNanos, mNow), mSequence, action));
    }

    /** Sends a request to a host, or another if its process does not run. */
    void arrive(int host, Request request) {
        for (int i = 0; i < mHosts.size(); i++) {
            Process process = mHosts.get((host + i) % mHosts.size()).mProcess;
            if (process != null && process.mAlive && !process.mStopping) {
                mRequests.put(request.mTicket, request);
                process.run(() -> process.admit(request));
                return;
            }
        }
    }

    int entries() {
        return mHosts.size();
    }

    /** Blocks or frees the link of two hosts. */
    void block(int a, int b, boolean blocked) {
        if (a == b) {
            return;
        }
        if (blocked) {
            mBlocked.add(pair(a, b));
        } else {
            mBlocked.remove(pair(a, b));
        }
        at(mNow + (blocked ? SECOND : 50 * MILLI), this::refreshLinks);
    }

    /** Cuts a host off from the key-value service, or lets it reach it again. */
    void cutFromService(int host, boolean cut) {
        if (cut) {
            mCutFromService.add(mHosts.get(host));
        } else {
            mCutFromService.remove(mHosts.get(host));
        }
    }

    /** Ends a host's process at once. */
    void kill(int host) {
        Process process = mHosts.get(host).mProcess;
        if (process != null) {
            process.mAlive = false;
            mHosts.get(host).mDownSince = mNow;
        }
        at(mNow + mRandom.nextInt(200) * MILLI, this::refreshLinks);
        at(mNow + MEMBER_LAG_NANOS, this::tellMembers);
        at(mNow + GONE_NANOS + SECOND, this::tellMembers);
    }

    /** Stops a host's process from running for a time; what reaches it waits. */
    void pause(int host, long nanos) {
        Process process = mHosts.get(host).mProcess;
        if (process == null || !process.mAlive || process.mPausedUntil > mNow) {
            return;
        }
        process.mPausedUntil = mNow + nanos;
        at(process.mPausedUntil, process::resume);
    }

    /** Starts a new process on a host; an older one may be paused and wake up later. */
    void start(int host) {
        Host on = mHosts.get(host);
        on.mIncarnation++;
        Process process = new Process(on);
        on.mProcess = process;
        mProcesses.add(process);
        process.mAlive = true;
        tellMembers();
        if (mSettings != null) {
            process.run(() -> process.mModel.onSettings(mSettings, process.clock(), process));
        }
        at(mNow + 20 * MILLI, this::refreshLinks);
        at(mNow + mRandom.nextInt((int) TICK_NANOS), process::tick);
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

    /** Returns whether the process of that name and incarnation runs. */
    boolean isRunning(String process) {
        return mProcesses.stream()
                .anyMatch(it -> it.mAlive && process.equals(it.mHost.mId + "#" + it.mStartedAs));
    }

    /** Makes the key-value service fail for a time. */
    void serviceDown(long nanos) {
        mServiceDownUntil = Math.max(mServiceDownUntil, mNow + nanos);
    }

    /** Puts settings in force on each running process, each after a time of its own. */
    void settings(Map<String, CustomerSettings> customers) {
        long revision = mSettings == null ? 1 : mSettings.revision() + 1;
        VirtualSettings settings = new VirtualSettings(revision, customers);
        mSettings = settings;
        for (Host host : mHosts) {
            Process process = host.mProcess;
            if (process != null) {
                at(
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

    /** Stops a host's process in the planned way, then ends it. */
    void stop(int host) {
        Process process = mHosts.get(host).mProcess;
        if (process == null || !process.mAlive || process.mStopping) {
            return;
        }
        process.mStopping = true;
        tellMembers();
        process.run(() -> process.mModel.stop(process.clock(), process));
    }

    long now() {
        return mNow;
    }

    Random random() {
        return mRandom;
    }

    /** Starts all processes with the given settings and runs until they are ready. */
    void warmUp(Map<String, CustomerSettings> customers) {
        mSettings = new VirtualSettings(1, customers);
        for (int i = 0; i < mHosts.size(); i++) {
            start(i);
        }
        run(WARM_UP_NANOS);
    }

    private long delay(Host from, Host to) {
        long base = from.mIndex % REGIONS == to.mIndex % REGIONS ? MILLI : 30 * MILLI;
        long jitter = (long) (mRandom.nextDouble() * base);
        if (mLossy && mRandom.nextDouble() < LATE) {
            return base + (long) (mRandom.nextDouble() * 15 * SECOND);
        }
        return base + jitter;
    }

    private Member member(Host host) {
        MemberState state = MemberState.LIVE;
        Process process = host.mProcess;
        if (process == null || !process.mAlive) {
            boolean gone = mNow - host.mDownSince > GONE_NANOS;
            state = gone ? MemberState.GONE : MemberState.SUSPECTED;
        } else if (process.mStopping) {
            state = MemberState.LEAVING;
        } else if (process.mPausedUntil > mNow) {
            state = MemberState.SUSPECTED;
        }
        return host.member(state);
    }

    private long pair(int a, int b) {
        return (long) Math.min(a, b) * mHosts.size() + Math.max(a, b);
    }

    private void refreshLinks() {
        for (Host a : mHosts) {
            for (Host b : mHosts) {
                if (a.mIndex < b.mIndex) {
                    refreshLink(a, b);
                }
            }
        }
    }

    private void refreshLink(Host a, Host b) {
        long pair = pair(a.mIndex, b.mIndex);
        long from = a.mProcess != null && a.mProcess.mAlive ? a.mIncarnation : 0;
        long to = b.mProcess != null && b.mProcess.mAlive ? b.mIncarnation : 0;
        boolean up = from != 0 && to != 0 && !mBlocked.contains(pair);
        boolean was = mLinks.contains(pair);
        boolean changed = a.linkTo(b) != to || b.linkTo(a) != from;
        if (was && (!up || changed)) {
            mLinks.remove(pair);
            a.tellPeer(b, a.linkTo(b), false);
            b.tellPeer(a, b.linkTo(a), false);
        }
        if (up && (!was || changed)) {
            mLinks.add(pair);
            a.mLinkedTo.put(b.mIndex, to);
            b.mLinkedTo.put(a.mIndex, from);
            a.tellPeer(b, to, true);
            b.tellPeer(a, from, true);
        }
    }

    private void tellMembers() {
        List<Member> members = mHosts.stream().map(this::member).toList();
        for (Host host : mHosts) {
            Process process = host.mProcess;
            if (process != null) {
                process.run(() -> process.mModel.onMembers(members, process.clock(), process));
            }
        }
    }

    private record Event(long mAt, long mOrder, Runnable mAction) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(mAt, other.mAt);
            return order != 0 ? order : Long.compare(mOrder, other.mOrder);
        }
    }

    /** One host, on which processes of one name follow each other. */
    private final class Host {
        private final int mIndex;
        private final NodeId mId;
        private final Locality mLocality;
        private final double mDrift = (mRandom.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final long mOffset = mRandom.nextInt(1_000_000) * SECOND;
        private final Map<Integer, Long> mLinkedTo = new HashMap<>();
        private Process mProcess;
        private long mIncarnation;
        private long mDownSince;

        private Host(int index) {
            mIndex = index;
            mId = new NodeId("entry-" + index);
            mLocality = new Locality("region-" + index % REGIONS, "dc-0");
        }

        private long linkTo(Host other) {
            return mLinkedTo.getOrDefault(other.mIndex, 0L);
        }

        private Member member(MemberState state) {
            return new Member(
                    mId, mIncarnation, Role.ENTRY, state, mLocality, "127.0.0.1:" + mIndex, "");
        }

        private void tellPeer(Host other, long incarnation, boolean up) {
            Process process = mProcess;
            if (process != null) {
                process.run(
                        () ->
                                process.mModel.onPeer(
                                        other.mId, incarnation, up, process.clock(), process));
            }
        }
    }

    /** One incarnation of an entry process. */
    private final class Process implements Outbox {
        private final Host mHost;
        private final long mStartedAs;
        private final EntryModel mModel;
        private final List<Runnable> mHeld = new ArrayList<>();
        private boolean mAlive;
        private boolean mStopping;
        private long mPausedUntil;

        private Process(Host host) {
            mHost = host;
            mStartedAs = host.mIncarnation;
            mModel = mFactory.create(host.member(MemberState.LIVE), mHosts.size());
        }

        @Override
        public void sendKeyValueRequest(long callId, KeyValueRequest call) {
            boolean down = mNow < mServiceDownUntil || mCutFromService.contains(mHost);
            boolean takesEffect = !down || mNow >= mServiceDownUntil && mRandom.nextInt(8) == 0;
            boolean answered = !down && (!mLossy || mRandom.nextInt(50) != 0);
            long there = mNow + (1 + mRandom.nextInt(4)) * MILLI;
            at(
                    there,
                    () -> {
                        KeyValueResponse reply = new KeyValueResponse.Failed(true, "no answer");
                        if (takesEffect) {
                            KeyValueResponse made = mKeyValue.apply(call);
                            reply = answered ? made : reply;
                        }
                        KeyValueResponse last = reply;
                        long back = answered ? 2 * MILLI : SECOND;
                        at(mNow + back, () -> run(() -> onReply(callId, last)));
                    });
        }

        @Override
        public void send(NodeId to, Message message) {
            mTraffic.onMessage();
            Host target = mHosts.get(Integer.parseInt(to.name().substring("entry-".length())));
            if (mBlocked.contains(pair(mHost.mIndex, target.mIndex))) {
                return;
            }
            if (mLossy && mRandom.nextDouble() < LOSS) {
                return;
            }
            int copies = mLossy && mRandom.nextDouble() < DOUBLED ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                at(mNow + delay(mHost, target), () -> deliver(target, message));
            }
        }

        private void admit(Request request) {
            long deadline = clock() + 10 * SECOND;
            Admission admission =
                    mModel.admit(
                            request.mTicket,
                            request.mCustomer,
                            request.mCharged,
                            deadline,
                            clock(),
                            this);
            if (admission.outcome() != Admission.Outcome.WAITING) {
                decided(request, admission);
            }
            decide();
        }

        private long clock() {
            return mHost.mOffset + (long) (mNow * (1 + mHost.mDrift));
        }

        private void decide() {
            for (AdmissionDecision decision : mModel.decisions()) {
                decided(mRequests.get(decision.requestId()), decision.admission());
            }
        }

        private void decided(Request request, Admission admission) {
            mRequests.remove(request.mTicket);
            boolean admitted = admission.outcome() == Admission.Outcome.ADMITTED;
            mTraffic.onDecided(request, admitted, mNow);
            if (admitted) {
                at(mNow + request.mDurationNanos, () -> run(() -> settle(request)));
            }
        }

        private void deliver(Host target, Message message) {
            Process process = target.mProcess;
            if (process != null) {
                process.run(
                        () -> {
                            process.mModel.onMessage(
                                    mHost.mId, mStartedAs, message, process.clock(), process);
                            process.decide();
                        });
            }
        }

        private void onReply(long callId, KeyValueResponse reply) {
            mModel.onKeyValueReply(callId, reply, clock(), this);
        }

        private void onSettings(VirtualSettings settings) {
            if (settings == mSettings) {
                mModel.onSettings(settings, clock(), this);
            }
        }

        private void resume() {
            List<Runnable> held = List.copyOf(mHeld);
            mHeld.clear();
            held.forEach(Runnable::run);
        }

        private void run(Runnable action) {
            if (!mAlive) {
                return;
            }
            if (mPausedUntil > mNow) {
                mHeld.add(action);
                return;
            }
            action.run();
        }

        private void settle(Request request) {
            mModel.settle(
                    request.mTicket,
                    request.mCustomer,
                    request.mCharged,
                    request.mUsed,
                    clock(),
                    this);
            decide();
        }

        private void tick() {
            if (!mAlive) {
                return;
            }
            run(
                    () -> {
                        mModel.onTick(clock(), this);
                        decide();
                        if (mStopping && mModel.handedOver() && mHost.mProcess == this) {
                            kill(mHost.mIndex);
                        }
                    });
            at(mPausedUntil > mNow ? mPausedUntil : mNow + TICK_NANOS, this::tick);
        }
    }
}
