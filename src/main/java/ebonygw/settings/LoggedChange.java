package ebonygw.settings;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * An accepted change with its stored form, which is what goes to the service and to other
 * processes.
 *
 * @param record the change
 * @param stored its stored form
 */
public record LoggedChange(ChangeRecord record, ByteString stored) {
    /** Creates a logged change. */
    public LoggedChange {
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(stored, "stored");
    }

    /** Returns its place in the log. */
    public long revision() {
        return record.revision();
    }
}
