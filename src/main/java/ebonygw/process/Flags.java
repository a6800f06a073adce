package ebonygw.process;

/**
 * Flags of one kind of process, as they stand on the command line.
 *
 * @param <S> type of the settings that they make
 */
interface Flags<S> {
    /** Returns the settings; faults are added to {@code reader}. */
    S settings(FlagReader reader);
}
