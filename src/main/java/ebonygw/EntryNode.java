package ebonygw;

/** The state machine of an entry process. */
public final class EntryNode {}
