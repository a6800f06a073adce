package ebonygw.gateway;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.PrefixMirror;
import ebonygw.log.LogLine;
import ebonygw.protocol.NodeId;
import ebonygw.quarantine.Evidence;
import ebonygw.quarantine.PartQuarantine;
import ebonygw.quarantine.PartSet;
import ebonygw.quarantine.QuarantineOptions;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Keeps requests from targets that would crash under parts of their prompts.
 *
 * <p>Connects the {@link PartQuarantine} of this entry with those of the others: evidence is passed
 * on over the links between entries, from each to all that it is linked to, and blocked parts are
 * kept in the key-value service, where a starting entry reads them and an operator may delete them.
 * Not thread-safe.
 */
final class PromptGuard {
    /**
     * Prefix of the keys of blocked parts, followed by the id of the part. Parts that are blocked
     * together have one key: their ids, separated by commas, or a hash of them if they are long.
     */
    static final String KEY_PREFIX = "/ebonygw/blocked-parts/";

    /**
     * Start of the first line of a value whose key does not name a single part; the ids follow. All
     * other lines are targets that ended under the parts.
     */
    private static final String PARTS_LINE = "parts=";

    /** Minimum interval between two messages on a link: a few ticks of the control thread. */
    private static final long SEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /**
     * Delay of a write for each entry that precedes this one, so that normally only the first entry
     * writes: longer than a write and the notification of it.
     */
    private static final long WRITE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Maximum delay of a write; beyond it, entries write concurrently. */
    private static final long MAX_WRITE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time after which a write is repeated unless its effect has been seen. */
    private static final long WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Delay of the removal of a key whose parts are blocked by another one from now on, so that no
     * entry reads the removal before it knows the other one.
     */
    private static final long REPLACED_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Maximum length of a part's id; the key-value service accepts keys of 200 bytes. */
    private static final int MAX_ID_LENGTH = 128;

    /** Maximum number of parts of a prompt that are judged, the first ones. */
    private static final int MAX_PARTS = 32;

    private static final String SEPARATOR = "\n";

    private final NodeId mSelf;
    private final KeyValueRequestIds mRequestIds;
    private final GatewayOutbox mOut;
    private final PartQuarantine mQuarantine;
    private final PrefixMirror mMirror;
    private final Map<NodeId, Peer> mPeers = new TreeMap<>();

    /** Revisions of the blocked parts that the key-value service holds. */
    private final Map<PartSet, Long> mStoredRevisions = new HashMap<>();

    /** Blocked parts that the key-value service holds, by their keys. */
    private final Map<String, PartSet> mStoredParts = new HashMap<>();

    /** Parts whose keys may have to be written or deleted, and when. */
    private final Map<PartSet, Long> mWriteDueNanos = new TreeMap<>();

    private final Set<Long> mWriteRequestIds = new HashSet<>();
    private Set<NodeId> mEntries = Set.of();

    /**
     * Creates a guard without evidence.
     *
     * @param self this entry
     * @param observer identifies this start of the process
     */
    PromptGuard(NodeId self, long observer, KeyValueRequestIds requestIds, GatewayOutbox out) {
        mSelf = self;
        mRequestIds = requestIds;
        mOut = out;
        mQuarantine = new PartQuarantine(observer, QuarantineOptions.defaults());
        mMirror = new PrefixMirror(KEY_PREFIX, requestIds);
    }

    /** Returns the block that a request's prompt falls under, empty if there is none. */
    Optional<PartQuarantine.Block> blocked(GatewayRequest request, long nowNanos) {
        return mQuarantine.blocked(parts(request), nowNanos);
    }

    /** Returns the blocked sets of parts with the incarnations that ended under them. */
    Map<PartSet, List<String>> blockedParts() {
        return mQuarantine.blockedParts();
    }

    /** Returns whether the parts that were blocked before have been read. */
    boolean isLoaded() {
        return mMirror.isLoaded();
    }

    /** Handles that the response of a target broke off. */
    void onBroken(PendingRequest pending, GatewayTarget target, long nowNanos) {
        if (target.isLeaving()) {
            return;
        }
        mQuarantine.onBroken(
                parts(pending.mRequest),
                target.record().incarnation(),
                nowNanos - pending.mStartedNanos,
                nowNanos);
    }

    /** Applies the registered entries. */
    void onEntries(Collection<NodeId> entries) {
        mEntries = Set.copyOf(entries);
    }

    /** Applies the evidence of another entry. */
    void onEvidence(Evidence evidence, long nowNanos) {
        mQuarantine.onEvidence(evidence, nowNanos);
    }

    /** Handles that the link to a process is up or down. */
    void onLink(NodeId peer, boolean up) {
        if (up) {
            mPeers.put(peer, new Peer());
        } else {
            mPeers.remove(peer);
        }
    }

    /** Handles a response of the key-value service; returns whether it belongs to this object. */
    boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        return mWriteRequestIds.remove(requestId)
                || mMirror.onResponse(requestId, response, nowNanos);
    }

    /**
     * Counts a response once as one that its target has survived, if it has ended or gone on for
     * long enough.
     *
     * @param ended whether the response has ended
     */
    void countSurvival(PendingRequest pending, boolean ended, long nowNanos) {
        if (pending.mSurvived || !pending.mStarted) {
            return;
        }
        if (ended || mQuarantine.isSurvival(nowNanos - pending.mStartedNanos)) {
            pending.mSurvived = true;
            mQuarantine.onSurvived(parts(pending.mRequest), nowNanos);
        }
    }

    /** Handles that an incarnation of a target has ended without notice. */
    void onTargetEnded(String incarnation, long nowNanos) {
        mQuarantine.onTargetEnded(incarnation, nowNanos);
    }

    /** Updates what is blocked, and sends the messages and writes that are due. */
    void onTick(long nowNanos) {
        mMirror.onTick(nowNanos, mOut);
        mMirror.drainChanges().forEach(change -> applyStored(change, nowNanos));
        for (PartQuarantine.Change change : mQuarantine.onTick(nowNanos)) {
            mOut.log(
                    LogLine.of(change.blocked() ? "part_blocked" : "part_unblocked")
                            .with("part", change.parts())
                            .with("crashed", String.join(",", change.crashed()))
                            .with("survivals", change.survivals())
                            .with("remembered", change.remembered()));
            long delay = isReplaced(change) ? REPLACED_DELAY_NANOS : 0;
            mWriteDueNanos.put(change.parts(), nowNanos + writeDelayNanos() + delay);
        }
        Map.copyOf(mWriteDueNanos)
                .forEach((part, dueNanos) -> writeIfDue(part, dueNanos, nowNanos));
        mPeers.forEach((peer, state) -> sendIfDue(peer, state, nowNanos));
    }

    /**
     * Applies a blocked part that is stored, or the removal of one by an operator. One that the
     * service has lost is written again.
     */
    private void applyStored(PrefixMirror.Change change, long nowNanos) {
        if (change.entry() == null) {
            PartSet parts = mStoredParts.remove(change.key());
            if (parts == null) {
                return;
            }
            mStoredRevisions.remove(parts);
            if (change.lost()) {
                mWriteDueNanos.put(parts, nowNanos + writeDelayNanos());
            } else if (mQuarantine.lift(parts)) {
                mOut.log(LogLine.of("part_lifted").with("part", parts));
            }
            return;
        }
        List<String> lines = List.of(change.entry().value().toStringUtf8().split(SEPARATOR));
        boolean hasPartsLine = lines.get(0).startsWith(PARTS_LINE);
        PartSet parts =
                hasPartsLine
                        ? PartSet.parse(lines.get(0).substring(PARTS_LINE.length()))
                        : PartSet.of(change.key().substring(KEY_PREFIX.length()));
        List<String> crashed = hasPartsLine ? lines.subList(1, lines.size()) : lines;
        mStoredRevisions.put(parts, change.entry().modRevision());
        mStoredParts.put(change.key(), parts);
        mQuarantine.block(parts, crashed, nowNanos);
        mOut.log(
                LogLine.of("part_block_read")
                        .with("part", parts)
                        .with("crashed", String.join(",", crashed))
                        .with("revision", change.entry().modRevision()));
    }

    private static String key(PartSet parts) {
        String ids = parts.toString();
        return KEY_PREFIX
                + (ids.length() <= MAX_ID_LENGTH
                        ? ids
                        : Long.toHexString(LongHashFunction.xx().hashChars(ids)));
    }

    private static ByteString value(PartSet parts, List<String> crashed) {
        boolean keyNamesPart = parts.ids().size() == 1 && key(parts).equals(KEY_PREFIX + parts);
        Stream<String> first = keyNamesPart ? Stream.of() : Stream.of(PARTS_LINE + parts);
        List<String> lines = Stream.concat(first, crashed.stream()).toList();
        return ByteString.copyFromUtf8(String.join(SEPARATOR, lines));
    }

    /** Returns whether parts are no longer blocked because fewer of them are. */
    private boolean isReplaced(PartQuarantine.Change change) {
        return !change.blocked()
                && mQuarantine.blockedParts().keySet().stream()
                        .anyMatch(it -> it.isWithin(change.parts().ids()));
    }

    private static List<String> parts(GatewayRequest request) {
        List<String> ids = request.sharedPartIds();
        List<String> parts = ids.subList(0, Math.min(MAX_PARTS, ids.size()));
        return parts.stream().allMatch(part -> part.length() <= MAX_ID_LENGTH) ? parts : List.of();
    }

    private void sendIfDue(NodeId peer, Peer state, long nowNanos) {
        long change = mQuarantine.change();
        boolean early =
                state.mSentNanos != Long.MIN_VALUE
                        && nowNanos - state.mSentNanos < SEND_INTERVAL_NANOS;
        if (state.mSentChange == change || early || !mEntries.contains(peer)) {
            return;
        }
        Evidence evidence = mQuarantine.changedSince(state.mSentChange, nowNanos);
        state.mSentChange = change;
        if (!evidence.isEmpty()) {
            state.mSentNanos = nowNanos;
            mOut.send(peer, new GatewayMessage.PromptEvidence(evidence));
        }
    }

    /** Returns the delay of a write by the number of entries that precede this one. */
    private long writeDelayNanos() {
        long preceding = mEntries.stream().filter(it -> it.compareTo(mSelf) < 0).count();
        return Math.min(MAX_WRITE_DELAY_NANOS, preceding * WRITE_DELAY_NANOS);
    }

    /**
     * Writes the key of parts that are blocked, or deletes that of parts that no longer are, unless
     * another entry has done so.
     */
    private void writeIfDue(PartSet parts, long dueNanos, long nowNanos) {
        if (nowNanos < dueNanos) {
            return;
        }
        List<String> crashed = mQuarantine.blockedParts().get(parts);
        boolean blocked = crashed != null;
        if (blocked == mStoredRevisions.containsKey(parts)) {
            mWriteDueNanos.remove(parts);
            return;
        }
        mWriteDueNanos.put(parts, nowNanos + WRITE_TIMEOUT_NANOS);
        ByteString value = blocked ? value(parts, crashed) : null;
        String key = key(parts);
        long requestId = mRequestIds.next();
        mWriteRequestIds.add(requestId);
        mOut.sendKeyValueRequest(
                requestId,
                new KeyValueRequest.Transaction(
                        List.of(
                                new KeyValueRequest.Compare(
                                        key, mStoredRevisions.getOrDefault(parts, 0L))),
                        List.of(new KeyValueRequest.Write(key, value, 0))));
    }

    /** State of the link to another process. */
    private static final class Peer {
        private long mSentChange;
        private long mSentNanos = Long.MIN_VALUE;
    }
}
