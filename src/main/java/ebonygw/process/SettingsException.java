package ebonygw.process;

import java.util.List;

/** Thrown when settings of a process are invalid; the message lists all faults. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param faults descriptions of the faults, each with the name of its flag or setting
     */
    public SettingsException(List<String> faults) {
        super(String.join("; ", faults));
    }

    /**
     * Creates an exception for one fault.
     *
     * @param fault description of the fault, with the name of its flag or setting
     */
    public SettingsException(String fault) {
        this(List.of(fault));
    }
}
