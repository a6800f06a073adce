package ebonygw.membership;

/** The state of a process as another one sees it. */
public enum MemberState {
    /** Known, not yet ready for work. */
    JOINING,
    /** Ready for work. */
    LIVE,
    /** Not heard of lately; gets no new work while others can take it. */
    SUSPECTED,
    /** Stopping; gets no new work. */
    LEAVING,
    /** Not there any more. */
    GONE
}
