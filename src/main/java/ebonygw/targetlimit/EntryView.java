package ebonygw.targetlimit;

import ebonygw.membership.Member;
import java.util.Collection;

/**
 * The registrations of entries as one entry sees them.
 *
 * @param entries the registered entries
 * @param ownRevision revision of this entry's own registration, 0 if it is not among them
 * @param ageMillis time since the service last confirmed them, negative if it never did
 * @param recoveredNanos when the service last responded again after a failure, {@link
 *     Long#MIN_VALUE} if it never failed
 */
public record EntryView(
        Collection<Member> entries, long ownRevision, long ageMillis, long recoveredNanos) {}
