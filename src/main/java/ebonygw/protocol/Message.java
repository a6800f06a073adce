package ebonygw.protocol;

/**
 * A typed message between two processes of the fleet.
 *
 * <p>Each subsystem defines its own sealed interface of messages. Implementations are immutable.
 */
public interface Message {}
