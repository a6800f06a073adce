package ebonygw.process;

import ebonygw.settings.SettingsView;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A node as the process around it sees it; all parts are called on the control thread only.
 *
 * @param handler handles each event
 * @param dump reads its state
 * @param ready whether it takes requests
 * @param settings newest settings, an immutable value
 * @param <E> type of its events
 * @param <F> type of its effects
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
     * Handles one event.
     *
     * @param <E> type of the events
     * @param <F> type of the effects
     */
    @FunctionalInterface
    public interface Handler<E, F> {
        /**
         * Handles one event.
         *
         * @param event the event
         * @param nowNanos the present time in nanoseconds since the Unix epoch
         * @param effects takes the effects in order, during the call
         */
        void handle(E event, long nowNanos, Consumer<F> effects);
    }
}
