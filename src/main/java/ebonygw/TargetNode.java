package ebonygw;

/** The state machine of a target process. */
public final class TargetNode {}
