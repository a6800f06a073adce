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
 * <p>Each flag {@code --some-name} may also be set as {@code EBONYGW_SOME_NAME}; the flag wins. Not
 * thread-safe.
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
     * @param args the command line after the command's name
     * @param environment environment variables; those of other names are ignored
     * @throws SettingsException if they cannot be used, with all faults found
     */
    public S parse(List<String> args, Map<String, String> environment) throws SettingsException {
        List<String> all = new ArrayList<>(fromEnvironment(environment));
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

    /** Returns the names of variables with our prefix that no flag of this process has. */
    public Set<String> unknownVariables(Collection<String> variables) {
        Set<String> unknown = new TreeSet<>();
        for (String variable : variables) {
            if (variable.startsWith(VARIABLE_PREFIX)) {
                unknown.add(variable);
            }
        }
        mParser.getOptions().forEach(option -> unknown.remove(variable(option)));
        return unknown;
    }

    /** Returns the flags with their units and defaults. */
    public String usage() {
        StringWriter usage = new StringWriter();
        mParser.printUsage(usage, null);
        usage.append("Each flag --some-name may be set as ").append(VARIABLE_PREFIX);
        return usage.append("SOME_NAME too; the flag wins.").toString();
    }

    private static String name(OptionHandler<?> option) {
        return ((NamedOptionDef) option.option).name();
    }

    private static String variable(OptionHandler<?> option) {
        String name = name(option).substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
        return VARIABLE_PREFIX + name;
    }

    private List<String> fromEnvironment(Map<String, String> environment) {
        List<String> args = new ArrayList<>();
        for (OptionHandler<?> option : mParser.getOptions()) {
            String value = environment.get(variable(option));
            if (value == null) {
                continue;
            }
            boolean isSwitch = option.setter.getType() == boolean.class;
            if (!isSwitch) {
                args.add(name(option));
                args.add(value);
            } else if (Boolean.parseBoolean(value)) {
                args.add(name(option));
            }
        }
        return args;
    }
}
