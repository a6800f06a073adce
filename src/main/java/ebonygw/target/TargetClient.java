package ebonygw.target;

import ebonygw.TargetEffect;

/**
 * A client of a target: carries out those effects of a target process that concern the target.
 *
 * <p>Thread-safe; no method blocks.
 */
public interface TargetClient extends AutoCloseable {
    /** Carries out an effect; effects that do not concern the target are ignored. */
    void apply(TargetEffect effect);

    /** Closes all connections to the target; open requests fail. */
    @Override
    void close();

    /** Starts polling load reports, if the target has them. */
    void start();
}
