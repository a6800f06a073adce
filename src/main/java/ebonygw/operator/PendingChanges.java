package ebonygw.operator;

import ebonygw.settings.ChangeOutcome;
import ebonygw.settings.SettingsChange;
import ebonygw.settings.SettingsWriter;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Changes on their way to the control thread and back.
 *
 * <p>Thread-safe.
 */
public final class PendingChanges implements ChangeSubmitter {
    private final Control mControl;
    private final AtomicLong mTickets = new AtomicLong();
    private final Map<Long, CompletableFuture<ChangeOutcome>> mOpen = new ConcurrentHashMap<>();

    /** Creates an empty set of changes with the way to the control thread. */
    public PendingChanges(Control control) {
        mControl = Objects.requireNonNull(control, "control");
    }

    /** Takes an outcome that the writer drained; one without an open ticket is ignored. */
    public void settle(SettingsWriter.Settled settled) {
        CompletableFuture<ChangeOutcome> open = mOpen.remove(settled.ticket());
        if (open != null) {
            open.complete(settled.outcome());
        }
    }

    @Override
    public CompletableFuture<ChangeOutcome> submit(SettingsChange change) {
        long ticket = mTickets.incrementAndGet();
        CompletableFuture<ChangeOutcome> open = new CompletableFuture<>();
        mOpen.put(ticket, open);
        mControl.submit(ticket, change);
        return open;
    }

    /** Takes a change to the control thread, which passes it to the writer with its ticket. */
    @FunctionalInterface
    public interface Control {
        /** Hands a change over. */
        void submit(long ticket, SettingsChange change);
    }
}
