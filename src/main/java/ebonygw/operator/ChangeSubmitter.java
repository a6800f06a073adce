package ebonygw.operator;

import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.SettingsChange;
import java.util.concurrent.CompletableFuture;

/**
 * Passes a change to the control thread, where {@link ebonygw.settings.SettingsWriter} decides it.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface ChangeSubmitter {
    /** Submits a change; the future completes with its outcome. */
    CompletableFuture<ChangeOutcome> submit(SettingsChange change);
}
