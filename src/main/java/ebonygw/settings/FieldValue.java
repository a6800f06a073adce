package ebonygw.settings;

import java.util.Set;
import java.util.TreeSet;

/** A typed value of a {@link Field}. */
public sealed interface FieldValue {
    /**
     * A boolean value.
     *
     * @param value the value
     */
    record Flag(boolean value) implements FieldValue {
        @Override
        public String toString() {
            return Boolean.toString(value);
        }
    }

    /**
     * A floating-point number.
     *
     * @param value the value
     */
    record Decimal(double value) implements FieldValue {
        @Override
        public String toString() {
            return Double.toString(value);
        }
    }

    /**
     * A set of names.
     *
     * @param value the names
     */
    record Names(Set<String> value) implements FieldValue {
        /** Creates the value. */
        public Names {
            value = Set.copyOf(value);
        }

        @Override
        public String toString() {
            return String.join(",", new TreeSet<>(value));
        }
    }

    /**
     * A string.
     *
     * @param value the string
     */
    record Text(String value) implements FieldValue {
        @Override
        public String toString() {
            return value;
        }
    }

    /**
     * An integer.
     *
     * @param value the number
     */
    record Whole(long value) implements FieldValue {
        @Override
        public String toString() {
            return Long.toString(value);
        }
    }
}
