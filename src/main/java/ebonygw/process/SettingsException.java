package ebonygw.process;

import java.util.List;

/** Thrown when the settings of a process cannot be used; carries all faults. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param faults what is wrong, each with the name of its flag
     */
    public SettingsException(List<String> faults) {
        super(String.join("; ", faults));
    }

    /**
     * Creates an exception of one fault.
     *
     * @param fault what is wrong, with the name of its setting
     */
    public SettingsException(String fault) {
        this(List.of(fault));
    }
}
