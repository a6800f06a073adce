package ebonygw.target;

import ebonygw.TargetEffect;

/**
 * Carries out the effects of a target process that concern its target.
 *
 * <p>Thread-safe; no method blocks.
 */
public interface TargetClient extends AutoCloseable {
    /** Carries out an effect; those that concern no target are ignored. */
    void apply(TargetEffect effect);

    /** Closes all connections to the target; open calls fail. */
    @Override
    void close();

    /** Starts to poll reports. */
    void start();
}
