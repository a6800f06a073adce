package ebonygw.cli;

import ebonygw.process.FlagParser;
import ebonygw.process.SettingsException;
import java.io.PrintStream;
import java.util.List;

/** Validates the settings of a process without starting it. */
final class CheckCommand implements Command {
    private static final String USAGE_TEXT = "usage: ebonygw check entry|target FLAGS";

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) {
        FlagParser<?> parser = args.isEmpty() ? null : parser(args.get(0));
        if (parser == null) {
            err.println(USAGE_TEXT);
            return USAGE;
        }
        try {
            parser.parse(args.subList(1, args.size()), System.getenv());
        } catch (SettingsException e) {
            err.println(args.get(0) + ": " + e.getMessage());
            return USAGE;
        }
        out.println(args.get(0) + ": the settings are valid");
        return OK;
    }

    /** Returns the flag parser of a process role, null for an unknown role. */
    private static FlagParser<?> parser(String role) {
        if (role.equals("entry")) {
            return FlagParser.ofEntry();
        }
        return role.equals("target") ? FlagParser.ofTarget() : null;
    }
}
