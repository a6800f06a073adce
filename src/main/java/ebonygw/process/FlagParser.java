package ebonygw.process;

import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Reads the settings of a process from flags and environment variables.
 *
 * <p>Each flag {@code --some-name} may also be set as {@code EBONYGW_SOME_NAME}; the flag takes
 * precedence. Not thread-safe.
 *
 * @param <S> type of the settings
 */
public final class FlagParser<S> {
    private static final String VARIABLE_PREFIX = "EBONYGW_";
    private static final int USAGE_WIDTH = 100;

    private final Flags<S> mFlags;
    private final CmdLineParser mParser;

    private FlagParser(Flags<S> flags) {
        mFlags = flags;
        mParser =
                new CmdLineParser(
                        flags,
                        ParserProperties.defaults()
                                .withUsageWidth(USAGE_WIDTH)
                                .withShowDefaults(true)
                                .withAtSyntax(false));
    }

    /** Returns a parser of the settings of an entry process. */
    public static FlagParser<EntrySettings> ofEntry() {
        return new FlagParser<>(new EntryFlags());
    }

    /** Returns a parser of the settings of a target process. */
    public static FlagParser<TargetSettings> ofTarget() {
        return new FlagParser<>(new TargetFlags());
    }

    /**
     * Reads the settings.
     *
     * @param args command-line arguments that follow the name of the command
     * @param environment environment variables; those that no flag corresponds to are ignored
     * @throws SettingsException if a flag is unknown, malformed, missing or has an invalid value
     */
    public S parse(List<String> args, Map<String, String> environment) throws SettingsException {
        List<String> all = new ArrayList<>(environmentArgs(environment));
        all.addAll(args);
        try {
            mParser.parseArgument(all);
        } catch (CmdLineException malformed) {
            throw new SettingsException(List.of(malformed.getMessage()));
        }
        FlagReader reader = new FlagReader();
        S settings = mFlags.settings(reader);
        if (!reader.faults().isEmpty()) {
            throw new SettingsException(reader.faults());
        }
        return settings;
    }

    /** Returns the variables with prefix {@code EBONYGW_} that no flag corresponds to, sorted. */
    public Set<String> unknownVariables(Collection<String> variables) {
        Set<String> unknown = new TreeSet<>();
        for (String variable : variables) {
            if (variable.startsWith(VARIABLE_PREFIX)) {
                unknown.add(variable);
            }
        }
        mParser.getOptions().forEach(option -> unknown.remove(variableName(option)));
        return unknown;
    }

    /** Returns the usage text: all flags with their units and default values. */
    public String usage() {
        StringWriter usage = new StringWriter();
        mParser.printUsage(usage, null);
        usage.append("Each flag --some-name may also be set as ").append(VARIABLE_PREFIX);
        return usage.append("SOME_NAME; the flag takes precedence.").toString();
    }

    private static String flagName(OptionHandler<?> option) {
        return ((NamedOptionDef) option.option).name();
    }

    private static String variableName(OptionHandler<?> option) {
        String name = flagName(option).substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
        return VARIABLE_PREFIX + name;
    }

    private List<String> environmentArgs(Map<String, String> environment) {
        List<String> args = new ArrayList<>();
        for (OptionHandler<?> option : mParser.getOptions()) {
            String value = environment.get(variableName(option));
            if (value == null) {
                continue;
            }
            boolean isSwitch = option.setter.getType() == boolean.class;
            if (!isSwitch) {
                args.add(flagName(option));
                args.add(value);
            } else if (Boolean.parseBoolean(value)) {
                args.add(flagName(option));
            }
        }
        return args;
    }
}
