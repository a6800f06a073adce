package ebonygw.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import ebonygw.cli.Command;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The command {@code bench capacity}: measures how the cost of control work grows with each
 * quantity, and estimates from it what one process of each role needs at the target size.
 */
public final class CapacityBench implements Command {
    private static final double MEGA = 1e6;
    private static final double KILO = 1e3;

    /** Creates the command. */
    public CapacityBench() {}

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws IOException {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("bench capacity: " + e.getMessage());
            parser.printUsage(err);
            return USAGE;
        }
        List<Slope> slopes = measure();
        List<RoleEstimate> roles = RoleEstimate.all(slopes);
        if (options.mJson) {
            printJson(slopes, roles, out);
        } else {
            printSlopes(slopes, out);
            roles.forEach(role -> printRole(role, out));
        }
        return OK;
    }

    /** Measures the slopes of all components. */
    static List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        slopes.addAll(new MembershipCost().measure());
        slopes.addAll(new RoutingCost().measure());
        slopes.addAll(new SettingsCost().measure());
        slopes.addAll(new SharesCost().measure());
        slopes.addAll(new SchedulingCost().measure());
        return slopes;
    }

    private static Map<String, Object> toJson(RoleEstimate.Line line) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("part", line.part());
        json.put("heapBytes", line.heapBytes());
        json.put("corePercent", line.corePercent());
        json.put("messagesPerSecond", line.messagesPerSecond());
        json.put("sentBytesPerSecond", line.sentBytesPerSecond());
        return json;
    }

    private static void printJson(List<Slope> slopes, List<RoleEstimate> roles, PrintStream out)
            throws IOException {
        List<Object> measured = new ArrayList<>();
        for (Slope slope : slopes) {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("name", slope.name());
            json.put("unit", slope.unit());
            json.put("per", slope.per());
            json.put("base", slope.intercept());
            json.put("each", slope.gradient());
            json.put("samples", slope.samples());
            measured.add(json);
        }
        Map<String, Object> estimates = new LinkedHashMap<>();
        for (RoleEstimate role : roles) {
            List<Object> lines = new ArrayList<>();
            role.lines().forEach(line -> lines.add(toJson(line)));
            lines.add(toJson(role.total()));
            estimates.put(role.role(), lines);
        }
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("slopes", measured);
        json.put("roles", estimates);
        ObjectMapper mapper = new ObjectMapper();
        out.println(mapper.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(json));
    }

    private static void printRole(RoleEstimate role, PrintStream out) {
        out.println();
        out.println("one " + role.role() + " process at the target size");
        out.printf(
                "  %-40s %8s %8s %8s %8s %8s%n",
                "part", "heap MB", "core %", "mess./s", "KB/s", "packets");
        role.lines().forEach(line -> printLine(line, out));
        printLine(role.total(), out);
        printLine(
                new RoleEstimate.Line(
                        "allowed",
                        TargetSize.MAX_HEAP_BYTES,
                        TargetSize.MAX_CORE_PERCENT,
                        0,
                        TargetSize.MAX_BYTES_PER_SECOND),
                out);
    }

    private static void printLine(RoleEstimate.Line line, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "  %-40s %8.2f %8.3f %8.1f %8.2f %8.2f%n",
                line.part(),
                line.heapBytes() / MEGA,
                line.corePercent(),
                line.messagesPerSecond(),
                line.sentBytesPerSecond() / KILO,
                line.packetBytesPerSecond() / KILO);
    }

    private static void printSlopes(List<Slope> slopes, PrintStream out) {
        out.printf("%-34s %-11s %12s %12s  %s%n", "measured", "unit", "base", "each", "per");
        for (Slope slope : slopes) {
            out.printf(
                    Locale.ROOT,
                    "%-34s %-11s %12.1f %12.3f  %s%s%n",
                    slope.name(),
                    slope.unit(),
                    slope.intercept(),
                    slope.gradient(),
                    slope.per(),
                    formatSamples(slope));
        }
    }

    private static String formatSamples(Slope slope) {
        StringBuilder values = new StringBuilder();
        for (Slope.Sample sample : slope.samples()) {
            values.append(String.format(Locale.ROOT, " %.0f:%.1f", sample.size(), sample.value()));
        }
        return values.toString();
    }

    private static final class Options {
        @Option(name = "--json", usage = "print the report as JSON")
        private boolean mJson;
    }
}
