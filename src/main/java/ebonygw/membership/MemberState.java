package ebonygw.membership;

/** The state of a process as an observer sees it. */
public enum MemberState {
    /** Known, but not yet ready for work. */
    JOINING,
    /** Ready for work. */
    LIVE,
    /** Possibly failed; gets new work only if no live process can take it. */
    SUSPECTED,
    /** Stopping; gets no new work. */
    LEAVING,
    /** Ended for good in this incarnation. */
    GONE
}
