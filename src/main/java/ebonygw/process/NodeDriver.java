package ebonygw.process;

import ebonygw.settings.SettingsView;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Functions with which a process runs its node; all are called on the control thread only.
 *
 * @param handler handles each event and emits its effects
 * @param dump returns the state of the node for the dump
 * @param ready whether the node accepts requests
 * @param settings returns the current settings, an immutable value
 * @param <E> type of the events
 * @param <F> type of the effects
 */
public record NodeDriver<E, F>(
        Handler<E, F> handler,
        Supplier<Map<String, Object>> dump,
        BooleanSupplier ready,
        Supplier<SettingsView> settings) {
    /**
     * Creates a driver.
     *
     * @throws NullPointerException if an argument is null
     */
    public NodeDriver {
        Objects.requireNonNull(handler, "handler");
        Objects.requireNonNull(dump, "dump");
        Objects.requireNonNull(ready, "ready");
        Objects.requireNonNull(settings, "settings");
    }

    /**
     * Handles the events of a node.
     *
     * @param <E> type of the events
     * @param <F> type of the effects
     */
    @FunctionalInterface
    public interface Handler<E, F> {
        /**
         * Handles one event.
         *
         * @param nowNanos the current time in nanoseconds since the Unix epoch
         * @param effects receives the effects in order, before this method returns
         */
        void handle(E event, long nowNanos, Consumer<F> effects);
    }
}
