package ebonygw.operator;

import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.SettingsChange;
import java.util.concurrent.CompletableFuture;

/**
 * Submits changes to the control thread, where {@link ebonygw.settings.SettingsWriter} validates
 * and commits them.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface ChangeSubmitter {
    /** Submits a change; the future completes with its outcome. */
    CompletableFuture<ChangeOutcome> submit(SettingsChange change);
}
