package ebonygw.protocol;

/**
 * A typed message between two of the system's own processes.
 *
 * <p>Each theme has its own sealed family of messages. Implementations are immutable.
 */
public interface Message {}
