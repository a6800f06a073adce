package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.gateway.GatewayRequest.PromptPart;
import ebonygw.http.BodySummary;
import ebonygw.http.Framing;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.Refusal;
import ebonygw.targetlimit.NamedLimit;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Entries, loaders and model replicas of three regions in virtual time, with one key-value service.
 *
 * <p>A replica crashes shortly after it begins to respond to a prompt with a part in {@link
 * #mCrashingParts}, and starts again, empty and under another id, after {@link #RESTART_MILLIS}.
 */
final class GatewayFleet {
    static final long RESTART_MILLIS = 3_200;
    static final long REGISTRATION_MILLIS = 3_600;
    private static final long TICK_MILLIS = 20;
    private static final long STORE_MILLIS = 3;
    private static final long LOCAL_MILLIS = 1;
    private static final long REGION_MILLIS = 30;
    private static final long CRASH_MILLIS = 60;

    /** How long the key-value service waits for changes before it responds to a watch. */
    private static final long WATCH_MILLIS = 1_000;

    private static final int REJECTED_STATUS = 503;
    private static final String[] REGIONS = {"casablanca", "fes", "marrakech"};

    final Set<String> mCrashingParts = new HashSet<>();
    final List<Arrival> mArrivals = new ArrayList<>();
    final List<Crash> mCrashes = new ArrayList<>();
    final Map<String, Outcome> mOutcomes = new TreeMap<>();
    final Map<String, EntryHost> mEntries = new TreeMap<>();
    final List<Replica> mReplicas = new ArrayList<>();
    final Set<String> mCutEntries = new HashSet<>();

    /** Entries that cannot reach the key-value service. */
    final Set<String> mStoreCutEntries = new HashSet<>();

    boolean mStoreUp = true;

    /** Longest time for which attempts wait for a connection, 0 if they are sent at once. */
    int mConnectMillis;

    /** Whether replicas reject all requests without running them. */
    boolean mRejecting;

    private final InMemoryKeyValueStore mStore = new InMemoryKeyValueStore();
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private final SplittableRandom mRandom;
    private final GatewaySettings mSettings = GatewayFixture.settings(1, 0, 0);
    private final Map<String, TargetRecord> mRecords = new HashMap<>();
    private long mNowNanos = TimeUnit.SECONDS.toNanos(1_000);
    private long mSequence;
    private long mNextExchange;
    private long mNextInstance;

    GatewayFleet(long seed, int entries, int replicas) {
        mRandom = new SplittableRandom(seed);
        write("op/config", "config");
        for (int i = 0; i < replicas; i++) {
            Replica replica = new Replica(i);
            mReplicas.add(replica);
            replica.start();
        }
        for (int i = 0; i < entries; i++) {
            startEntry(i);
        }
        run(3_000);
    }

    /** A request that reached a replica. */
    record Arrival(long nanos, GatewayRequest request, String instance, EntryHost entry) {}

    /** The end of a replica. */
    record Crash(long nanos, String instance) {}

    /** What a caller got: the start of a response, or a refusal. */
    record Outcome(long nanos, boolean begun, Refusal refusal) {}

    private record Task(long nanos, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    long nowNanos() {
        return mNowNanos;
    }

    static List<PromptPart> prompt(String... ids) {
        List<PromptPart> parts = new ArrayList<>();
        for (String id : ids) {
            parts.add(new PromptPart(id, 200));
        }
        return parts;
    }

    /** Sends a request to an entry; returns its id. */
    String submit(String entry, List<PromptPart> prompt) {
        String id = "r" + ++mNextExchange;
        GatewayRequest base =
                GatewayFixture.request(id, "/ask/" + id, GatewayFixture.KEY, "", ByteString.EMPTY);
        GatewayRequest request =
                new GatewayRequest(
                        id,
                        base.method(),
                        base.host(),
                        base.path(),
                        base.keyHash(),
                        base.model(),
                        "",
                        600,
                        100,
                        prompt,
                        TimeUnit.SECONDS.toNanos(10),
                        "",
                        Map.of(),
                        ByteString.EMPTY);
        EntryHost host = mEntries.get(entry);
        host.handle(new GatewayEvent.RequestReceived(mNextExchange, request));
        return id;
    }

    /** Runs the fleet for a time. */
    void run(long millis) {
        long endNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!mTasks.isEmpty() && mTasks.peek().nanos() <= endNanos) {
            Task task = mTasks.poll();
            mNowNanos = Math.max(mNowNanos, task.nanos());
            task.action().run();
        }
        mNowNanos = endNanos;
    }

    /** Ends an entry's process at once and starts it again after a time, without memory. */
    void restartEntry(String name, long downMillis) {
        mEntries.remove(name).kill();
        after(downMillis, () -> startEntry(Integer.parseInt(name.substring(5))));
    }

    /** Starts another entry; returns its name. */
    String addEntry(int index) {
        startEntry(index);
        return "entry" + index;
    }

    /** Ends an entry's process at once; its registration lapses. */
    void stopEntry(String name) {
        mEntries.remove(name).kill();
    }

    /** Loses the messages of an entry's links for a time; then they are established again. */
    void cutLinks(String name, long millis) {
        mCutEntries.add(name);
        after(
                millis,
                () -> {
                    mCutEntries.remove(name);
                    if (mEntries.containsKey(name)) {
                        mEntries.get(name).reconnect();
                    }
                });
    }

    /** Keeps an entry from the key-value service for a time. */
    void cutStore(String name, long millis) {
        mStoreCutEntries.add(name);
        after(millis, () -> mStoreCutEntries.remove(name));
    }

    /** Does something after a time. */
    void later(long millis, Runnable action) {
        after(millis, action);
    }

    /** Ends all leases of the key-value service and deletes their keys. */
    void lapseLeases() {
        mStore.advance(mNowNanos + TimeUnit.MINUTES.toNanos(1));
    }

    /** Ends some replicas at the same moment, without regard to their requests. */
    void crashReplicas(int first, int count) {
        mReplicas.subList(first, first + count).forEach(Replica::crash);
    }

    /** Returns how many requests with a part reached replicas later than a time. */
    long arrivalsAfter(long nanos, String part) {
        return mArrivals.stream()
                .filter(arrival -> arrival.nanos() > nanos)
                .flatMap(arrival -> arrival.request().promptParts().stream())
                .filter(it -> it.id().equals(part))
                .count();
    }

    /** Deletes a key of the key-value service, as an operator does. */
    void delete(String key) {
        write(key, null);
    }

    private void startEntry(int index) {
        EntryHost host = new EntryHost(index);
        mEntries.put(host.mName, host);
        host.tick();
    }

    private void after(long millis, Runnable action) {
        long nanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        mTasks.add(new Task(nanos, ++mSequence, action));
    }

    private void write(String key, String value) {
        ByteString bytes = value == null ? null : ByteString.copyFromUtf8(value);
        mStore.execute(
                new KeyValueRequest.Transaction(
                        List.of(), List.of(new KeyValueRequest.Write(key, bytes, 0))),
                mNowNanos);
    }

    private static Locality locality(int index) {
        String region = REGIONS[index % REGIONS.length];
        return new Locality(region, region + "-a");
    }

    private static long latency(Locality one, Locality other) {
        return one.sameRegion(other) ? LOCAL_MILLIS : REGION_MILLIS;
    }

    /** A process whose node is driven by events. */
    private abstract class Host {
        final Locality mLocality;
        private final Set<Long> mWatches = new TreeSet<>();
        boolean mAlive = true;

        /** Until when the process is stopped; what happens meanwhile is handled afterwards. */
        long mFrozenUntilNanos;

        Host(Locality locality) {
            mLocality = locality;
        }

        abstract void handle(GatewayEvent event);

        void kill() {
            mAlive = false;
        }

        boolean reachesStore() {
            return mStoreUp;
        }

        void tick() {
            if (mAlive && mNowNanos < mFrozenUntilNanos) {
                after(thawMillis(), this::tick);
            } else if (mAlive) {
                handle(new GatewayEvent.Tick());
                after(TICK_MILLIS, this::tick);
            }
        }

        void later(long millis, GatewayEvent event) {
            after(
                    millis,
                    () -> {
                        if (mAlive && mNowNanos < mFrozenUntilNanos) {
                            later(thawMillis(), event);
                        } else if (mAlive) {
                            handle(event);
                        }
                    });
        }

        private long thawMillis() {
            return TimeUnit.NANOSECONDS.toMillis(mFrozenUntilNanos - mNowNanos) + 1;
        }

        void onKeyValue(GatewayEffect.KeyValue call) {
            long id = call.requestId();
            if (!reachesStore()) {
                reply(id, new KeyValueResponse.Failed(false, "down"));
            } else if (call.request() instanceof KeyValueRequest.Watch watch) {
                mWatches.add(id);
                mStore.watch(watch, response -> onWatch(id, response));
                after(WATCH_MILLIS, () -> confirmWatch(id));
            } else if (!(call.request() instanceof KeyValueRequest.WatchCancel)) {
                reply(id, mStore.execute(call.request(), mNowNanos));
            }
        }

        /** Responds to a watch without changes, or fails it if the service is out of reach. */
        private void confirmWatch(long id) {
            if (mAlive && reachesStore() && mWatches.contains(id)) {
                reply(id, new KeyValueResponse.Changed(mStore.revision(), List.of()));
                after(WATCH_MILLIS, () -> confirmWatch(id));
            } else if (mWatches.remove(id)) {
                reply(id, new KeyValueResponse.Failed(false, "no response"));
            }
        }

        private void onWatch(long id, KeyValueResponse response) {
            if (reachesStore() && mWatches.contains(id)) {
                reply(id, response);
            } else if (mWatches.remove(id)) {
                reply(id, new KeyValueResponse.Failed(false, "no response"));
            }
        }

        private void reply(long id, KeyValueResponse response) {
            later(STORE_MILLIS, new GatewayEvent.KeyValueResponseReceived(id, response));
        }
    }

    /** An entry. */
    final class EntryHost extends Host {
        final String mName;
        final GatewayNode mNode;
        private final Set<NodeId> mLinks = new HashSet<>();

        /** When this process has handled a response of an instance that names a limit. */
        final Map<String, TreeSet<Long>> mToldNanos = new HashMap<>();

        /** Additional latency of the messages to and from this entry. */
        long mLateMillis;

        private final Map<Long, String> mInstances = new HashMap<>();

        /** Attempts that wait for a connection. */
        private final List<GatewayEffect.Attempt> mUnsent = new ArrayList<>();

        EntryHost(int index) {
            super(locality(index));
            mName = "entry" + index;
            Member self =
                    new Member(
                            new NodeId(mName),
                            1,
                            Role.ENTRY,
                            MemberState.LIVE,
                            mLocality,
                            "10.0.0." + index + ":" + GatewayFixture.LOADER_PORT,
                            "");
            GatewayOptions options = GatewayFixture.options();
            mNode =
                    new GatewayNode(
                            new GatewayOptions(
                                    self,
                                    new Reader(),
                                    options.loaderPort(),
                                    0,
                                    0,
                                    options.retryRatio(),
                                    options.retryExtra(),
                                    options.retryWindowNanos(),
                                    options.acceptNanos(),
                                    options.graceNanos(),
                                    options.maxSettingsAgeNanos(),
                                    mRandom.nextLong()));
        }

        @Override
        void handle(GatewayEvent event) {
            if (event instanceof GatewayEvent.ResponseStarted started
                    && started.limit().kind() == NamedLimit.Kind.GIVEN) {
                String instance = mInstances.get(started.exchange());
                mToldNanos.computeIfAbsent(instance, i -> new TreeSet<>()).add(mNowNanos);
            }
            mNode.handle(event, mNowNanos, this::onEffect);
        }

        @Override
        boolean reachesStore() {
            return super.reachesStore() && !mStoreCutEntries.contains(mName);
        }

        @Override
        void kill() {
            super.kill();
            Set.copyOf(mLinks).forEach(this::unlink);
        }

        private void onEffect(GatewayEffect effect) {
            if (effect instanceof GatewayEffect.KeyValue call) {
                onKeyValue(call);
            } else if (effect instanceof GatewayEffect.Links links) {
                links.members().forEach(member -> link(member.id()));
            } else if (effect instanceof GatewayEffect.Send send) {
                send(send.to(), send.message());
            } else if (effect instanceof GatewayEffect.Refused refused) {
                mOutcomes.putIfAbsent(
                        "r" + refused.exchange(), new Outcome(mNowNanos, false, refused.refusal()));
            } else if (effect instanceof GatewayEffect.Attempt attempt) {
                mInstances.put(attempt.exchange(), attempt.terms().instance());
                if (mConnectMillis > 0) {
                    mUnsent.add(attempt);
                    after(mRandom.nextInt(mConnectMillis), () -> onConnected(attempt));
                    long maxNanos = attempt.terms().maxConnectNanos();
                    if (maxNanos != AttemptTerms.UNTIL_DEADLINE) {
                        after(TimeUnit.NANOSECONDS.toMillis(maxNanos), () -> withdraw(attempt));
                    }
                } else {
                    attempt(attempt);
                }
            } else if (effect instanceof GatewayEffect.WithdrawWaiting withdrawn) {
                withdraw(withdrawn.address());
            }
        }

        private void onConnected(GatewayEffect.Attempt attempt) {
            if (mAlive && mNowNanos < mFrozenUntilNanos) {
                after(
                        TimeUnit.NANOSECONDS.toMillis(mFrozenUntilNanos - mNowNanos),
                        () -> onConnected(attempt));
            } else if (mAlive && mUnsent.remove(attempt)) {
                attempt(attempt);
            }
        }

        private void reconnect() {
            Set<NodeId> links = Set.copyOf(mLinks);
            links.forEach(this::unlink);
            links.forEach(this::link);
        }

        private void withdraw(String address) {
            for (GatewayEffect.Attempt attempt : List.copyOf(mUnsent)) {
                if (attempt.terms().address().equals(address)) {
                    withdraw(attempt);
                }
            }
        }

        private void withdraw(GatewayEffect.Attempt attempt) {
            if (mUnsent.remove(attempt)) {
                later(
                        0,
                        new GatewayEvent.AttemptFailed(
                                attempt.exchange(),
                                attempt.terms().number(),
                                false,
                                false,
                                false,
                                true,
                                "WITHDRAWN"));
            }
        }

        private void attempt(GatewayEffect.Attempt attempt) {
            for (Replica replica : mReplicas) {
                if (replica.mAddress.equals(attempt.terms().address())) {
                    after(
                            latency(mLocality, replica.mLocality),
                            () -> replica.receive(this, attempt));
                }
            }
        }

        private void link(NodeId peer) {
            after(
                    2 * REGION_MILLIS,
                    () -> {
                        EntryHost entry = mEntries.get(peer.name());
                        if (!mAlive || entry == this || !mLinks.add(peer)) {
                            return;
                        }
                        if (entry != null) {
                            entry.mLinks.add(new NodeId(mName));
                            entry.handle(new GatewayEvent.PeerUp(new NodeId(mName), 1));
                        }
                        for (Replica replica : mReplicas) {
                            if (replica.loaderId().equals(peer)) {
                                replica.handle(new GatewayEvent.PeerUp(new NodeId(mName), 1));
                            }
                        }
                        if (entry == null
                                && mReplicas.stream().noneMatch(r -> r.loaderId().equals(peer))) {
                            mLinks.remove(peer);
                            return;
                        }
                        handle(new GatewayEvent.PeerUp(peer, 1));
                    });
        }

        private void unlink(NodeId peer) {
            mLinks.remove(peer);
            NodeId self = new NodeId(mName);
            EntryHost entry = mEntries.get(peer.name());
            if (entry != null) {
                entry.mLinks.remove(self);
                entry.handle(new GatewayEvent.PeerDown(self, 1));
            }
            for (Replica replica : mReplicas) {
                if (replica.loaderId().equals(peer)) {
                    replica.handle(new GatewayEvent.PeerDown(self, 1));
                }
            }
        }

        private void send(NodeId to, Message message) {
            if (!mLinks.contains(to) || mCutEntries.contains(mName)) {
                return;
            }
            GatewayEvent event =
                    new GatewayEvent.PeerMessageReceived(new NodeId(mName), 1, message);
            EntryHost entry = mEntries.get(to.name());
            if (entry != null && !mCutEntries.contains(to.name())) {
                entry.later(
                        latency(mLocality, entry.mLocality) + mLateMillis + entry.mLateMillis,
                        event);
            }
            for (Replica replica : mReplicas) {
                if (replica.loaderId().equals(to)) {
                    replica.later(latency(mLocality, replica.mLocality), event);
                }
            }
        }
    }

    /** A model replica with its loader. */
    final class Replica extends Host {
        final int mIndex;
        final String mAddress;
        private final LoaderNode mLoader;
        private final List<Run> mRuns = new ArrayList<>();
        String mInstance = "";

        /** What its responses state. */
        NamedLimit mLimit = NamedLimit.NONE;

        /** When it first stated that. */
        long mNamedNanos = Long.MAX_VALUE;

        private long mStartedMillis;
        private boolean mUp;

        Replica(int index) {
            super(locality(index));
            mIndex = index;
            mAddress = "10.1.0." + index + ":80";
            mLoader =
                    new LoaderNode(
                            LoaderOptions.of(
                                    "side" + index,
                                    "model",
                                    mAddress,
                                    new Reader(),
                                    TimeUnit.SECONDS.toNanos(3)));
        }

        void start() {
            mUp = true;
            mStartedMillis = TimeUnit.NANOSECONDS.toMillis(mNowNanos);
            mInstance = "i-" + ++mNextInstance;
            TargetRecord record =
                    new TargetRecord(
                            mInstance,
                            mStartedMillis,
                            "model",
                            mAddress,
                            mLocality,
                            64,
                            false,
                            Map.of("m0", 1L),
                            Map.of());
            mRecords.put("servers/" + mInstance, record);
            write("servers/" + mInstance, mInstance);
            if (mNextInstance <= mReplicas.size()) {
                tick();
            }
        }

        void name(NamedLimit limit) {
            mLimit = limit;
            mNamedNanos = Long.MAX_VALUE;
        }

        private NamedLimit responseLimit() {
            mNamedNanos = Math.min(mNamedNanos, mNowNanos);
            return mLimit;
        }

        NodeId loaderId() {
            return new NodeId("10.1.0." + mIndex + ":" + GatewayFixture.LOADER_PORT);
        }

        void crash() {
            if (!mUp) {
                return;
            }
            mUp = false;
            mCrashes.add(new Crash(mNowNanos, mInstance));
            String ended = mInstance;
            List<Run> runs = List.copyOf(mRuns);
            mRuns.clear();
            runs.forEach(run -> run.fail(true));
            after(REGISTRATION_MILLIS, () -> write("servers/" + ended, null));
            after(RESTART_MILLIS, this::start);
        }

        @Override
        void handle(GatewayEvent event) {
            mLoader.handle(event, mNowNanos, this::onEffect);
        }

        private void onEffect(GatewayEffect effect) {
            if (effect instanceof GatewayEffect.KeyValue call) {
                onKeyValue(call);
            } else if (effect instanceof GatewayEffect.ReadStatus) {
                TargetStatus status =
                        new TargetStatus(
                                mInstance,
                                mStartedMillis,
                                false,
                                0,
                                mRuns.size(),
                                0,
                                Map.of("m0", 1L),
                                Map.of(),
                                List.of());
                later(
                        LOCAL_MILLIS,
                        new GatewayEvent.StatusRead(mUp ? Optional.of(status) : Optional.empty()));
            } else if (effect instanceof GatewayEffect.Send send) {
                EntryHost entry = mEntries.get(send.to().name());
                if (entry != null && !mCutEntries.contains(entry.mName)) {
                    entry.later(
                            latency(mLocality, entry.mLocality),
                            new GatewayEvent.PeerMessageReceived(loaderId(), 1, send.message()));
                }
            }
        }

        private void receive(EntryHost entry, GatewayEffect.Attempt attempt) {
            Run run = new Run(this, entry, attempt);
            if (!mUp || !attempt.terms().instance().equals(mInstance)) {
                run.fail(false);
                return;
            }
            mArrivals.add(new Arrival(mNowNanos, attempt.request(), mInstance, entry));
            if (mRejecting) {
                run.reject();
                return;
            }
            mRuns.add(run);
            after(20 + mRandom.nextInt(280), run::begin);
        }
    }

    /** A request at a replica. */
    private final class Run {
        private final Replica mReplica;
        private final EntryHost mEntry;
        private final GatewayEffect.Attempt mAttempt;
        private final long mLatency;
        private boolean mBegun;

        Run(Replica replica, EntryHost entry, GatewayEffect.Attempt attempt) {
            mReplica = replica;
            mEntry = entry;
            mAttempt = attempt;
            mLatency = latency(replica.mLocality, entry.mLocality);
        }

        void begin() {
            if (!mReplica.mRuns.contains(this)) {
                return;
            }
            mBegun = true;
            int attempt = mAttempt.terms().number();
            mEntry.later(
                    mLatency,
                    new GatewayEvent.ResponseStarted(
                            mAttempt.exchange(),
                            attempt,
                            200,
                            Optional.empty(),
                            mReplica.responseLimit()));
            mOutcomes.putIfAbsent(mAttempt.request().id(), new Outcome(mNowNanos, true, null));
            List<PromptPart> parts = mAttempt.request().promptParts();
            if (parts.stream().anyMatch(part -> mCrashingParts.contains(part.id()))) {
                String instance = mReplica.mInstance;
                after(
                        CRASH_MILLIS,
                        () -> {
                            if (instance.equals(mReplica.mInstance)) {
                                mReplica.crash();
                            }
                        });
            } else {
                after(300 + mRandom.nextInt(3_500), this::end);
            }
        }

        void reject() {
            mEntry.later(
                    mLatency,
                    new GatewayEvent.ResponseHeld(
                            mAttempt.exchange(),
                            mAttempt.terms().number(),
                            REJECTED_STATUS,
                            false,
                            Optional.empty(),
                            mReplica.responseLimit()));
        }

        private void end() {
            if (mReplica.mRuns.remove(this)) {
                mEntry.later(
                        mLatency,
                        new GatewayEvent.ResponseEnded(
                                mAttempt.exchange(),
                                mAttempt.terms().number(),
                                new BodySummary(Framing.CHUNKED, 1)));
            }
        }

        private void fail(boolean sent) {
            mEntry.later(
                    mLatency,
                    new GatewayEvent.AttemptFailed(
                            mAttempt.exchange(),
                            mAttempt.terms().number(),
                            sent,
                            mBegun,
                            false,
                            false,
                            mBegun ? "BROKEN" : "LOST"));
        }
    }

    private final class Reader implements StoreReader {
        @Override
        public String operatorPrefix() {
            return "op/";
        }

        @Override
        public Optional<GatewaySettings> settings(Entry entry) {
            return Optional.of(mSettings);
        }

        @Override
        public Optional<TargetRecord> target(Entry entry) {
            return Optional.ofNullable(
                    mRecords.get("servers/" + entry.value().toString(StandardCharsets.UTF_8)));
        }

        @Override
        public String targetPrefix() {
            return "servers/";
        }

        @Override
        public Optional<WantedVersion> wantedVersion(Entry entry) {
            return Optional.empty();
        }
    }
}
