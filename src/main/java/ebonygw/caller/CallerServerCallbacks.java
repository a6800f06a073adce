package ebonygw.caller;

import ebonygw.EntryEvent;
import ebonygw.settings.SettingsView;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What a {@link CallerServer} needs of the process that contains it; all are called on IO threads.
 *
 * @param events accepts events for the control thread
 * @param ready whether the process accepts requests, as reported to the platform's load balancer
 * @param settings returns the latest settings
 */
public record CallerServerCallbacks(
        Consumer<EntryEvent> events, BooleanSupplier ready, Supplier<SettingsView> settings) {
    /**
     * Creates the callbacks.
     *
     * @throws NullPointerException if an argument is null
     */
    public CallerServerCallbacks {
        Objects.requireNonNull(events, "events");
        Objects.requireNonNull(ready, "ready");
        Objects.requireNonNull(settings, "settings");
    }
}
