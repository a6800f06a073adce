package ebonygw.warmup;

/** Token that was withdrawn for a request to a cold target. */
@FunctionalInterface
public interface ColdToken {
    /** A request to a target that is not cold. */
    ColdToken NONE = () -> {};

    /** Returns the token, because the request did not reach the target or does not count. */
    void giveBack();
}
