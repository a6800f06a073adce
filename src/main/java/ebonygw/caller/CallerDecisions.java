package ebonygw.caller;

import ebonygw.EntryEvent;
import ebonygw.settings.SettingsView;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What the server for callers needs of the process around it; all are called on IO threads.
 *
 * @param events takes events for the control thread
 * @param ready whether the process takes requests, for the platform's balancer
 * @param settings newest settings
 */
public record CallerDecisions(
        Consumer<EntryEvent> events, BooleanSupplier ready, Supplier<SettingsView> settings) {
    /**
     * Creates the set.
     *
     * @throws NullPointerException if an argument is null
     */
    public CallerDecisions {
        Objects.requireNonNull(events, "events");
        Objects.requireNonNull(ready, "ready");
        Objects.requireNonNull(settings, "settings");
    }
}
