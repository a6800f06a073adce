package ebonygw.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The resources that one process of a role needs at the target size, estimated from slopes.
 *
 * @param role name of the role
 * @param lines needs of the parts of the process
 */
record RoleEstimate(String role, List<Line> lines) {
    private static final double NANOS_PER_PERCENT = 1e7;

    RoleEstimate {
        lines = List.copyOf(lines);
    }

    /**
     * The resources that one part of a process needs.
     *
     * @param part description of the part
     * @param heapBytes live heap in bytes
     * @param corePercent processor time in percent of one core
     * @param messagesPerSecond messages sent per second
     * @param sentBytesPerSecond bytes of these messages per second, without packet headers
     */
    record Line(
            String part,
            double heapBytes,
            double corePercent,
            double messagesPerSecond,
            double sentBytesPerSecond) {
        /** Size of the headers of a packet. */
        private static final double PACKET_HEADER_BYTES = 52;

        /** Returns the bytes sent per second if each message goes in a packet of its own. */
        double packetBytesPerSecond() {
            return sentBytesPerSecond + PACKET_HEADER_BYTES * messagesPerSecond;
        }
    }

    /** Returns the estimates of all roles. */
    static List<RoleEstimate> all(List<Slope> slopes) {
        Slopes byName = new Slopes(slopes);
        return List.of(entry(byName), target(byName));
    }

    /** Returns the sum of all parts. */
    Line total() {
        return new Line(
                "total",
                lines.stream().mapToDouble(Line::heapBytes).sum(),
                lines.stream().mapToDouble(Line::corePercent).sum(),
                lines.stream().mapToDouble(Line::messagesPerSecond).sum(),
                lines.stream().mapToDouble(Line::sentBytesPerSecond).sum());
    }

    private static double corePercent(double nanosPerSecond) {
        return nanosPerSecond / NANOS_PER_PERCENT;
    }

    private static RoleEstimate entry(Slopes slopes) {
        List<Line> lines = new ArrayList<>();
        double connections =
                TargetSize.CONNECTED_TARGETS
                        + 2 * slopes.valueAt("membership neighbours", processesPerRegion());
        lines.addAll(membership(slopes, connections));
        double shareConnections =
                slopes.valueAt("share links, most of one entry", TargetSize.ENTRIES);
        lines.add(
                idleConnections(
                        slopes,
                        "links for shares, at most " + Math.round(shareConnections),
                        shareConnections));
        lines.add(settings(slopes));
        double reports =
                TargetSize.CONNECTED_TARGETS
                        * (TargetSize.LOAD_REPORTS_PER_SECOND + TargetSize.FULL_REPORTS_PER_SECOND);
        lines.add(
                new Line(
                        "router: reports of its targets",
                        slopes.valueAt("router heap", TargetSize.CONNECTED_TARGETS),
                        corePercent(
                                slopes.valueAt(
                                                "target report, processor",
                                                TargetSize.RESIDENT_ADAPTERS)
                                        * reports),
                        0,
                        0));
        double requests = (double) TargetSize.REQUESTS_PER_SECOND / TargetSize.ENTRIES;
        double choice = slopes.valueAt("router choice, processor", TargetSize.CONNECTED_TARGETS);
        double admission = slopes.valueAt("shares admission, processor", TargetSize.CUSTOMERS);
        lines.add(
                new Line(
                        "choice and admission of requests",
                        slopes.valueAt("router heap of demand", TargetSize.ADAPTERS),
                        corePercent((choice + admission) * requests),
                        0,
                        0));
        lines.add(
                new Line(
                        "shares of customers",
                        slopes.valueAt("shares heap", TargetSize.CUSTOMERS),
                        0,
                        slopes.valueAt("shares messages", TargetSize.CUSTOMERS),
                        slopes.valueAt("shares sent bytes", TargetSize.CUSTOMERS)));
        return new RoleEstimate("entry", lines);
    }

    private static Line idleConnections(Slopes slopes, String part, double connections) {
        return new Line(
                part,
                0,
                corePercent(slopes.gradient("membership idle, processor") * connections),
                slopes.gradient("membership idle, messages") * connections,
                slopes.gradient("membership idle, sent bytes") * connections);
    }

    private static List<Line> membership(Slopes slopes, double connections) {
        int processes = TargetSize.processes();
        double changes = TargetSize.memberChangesPerSecond();
        return List.of(
                new Line("members", slopes.valueAt("membership heap", processes), 0, 0, 0),
                new Line(
                        "members' changes",
                        0,
                        corePercent(
                                slopes.valueAt("membership change, processor", processes)
                                        * changes),
                        slopes.valueAt("membership change, messages", processes) * changes,
                        slopes.valueAt("membership change, sent bytes", processes) * changes),
                idleConnections(
                        slopes,
                        "heartbeats on " + Math.round(connections) + " links",
                        connections));
    }

    private static double processesPerRegion() {
        return (double) TargetSize.processes() / TargetSize.REGIONS;
    }

    private static Line settings(Slopes slopes) {
        double changes = TargetSize.settingsChangesPerSecond();
        double bytes = slopes.valueAt("settings change, bytes", TargetSize.ADAPTERS) * changes;
        return new Line(
                "settings",
                slopes.valueAt("settings heap per adapter", TargetSize.ADAPTERS)
                        + slopes.gradient("settings heap per customer") * TargetSize.CUSTOMERS,
                corePercent(
                        slopes.valueAt("settings change, processor", TargetSize.ADAPTERS)
                                * changes),
                changes,
                bytes);
    }

    private static RoleEstimate target(Slopes slopes) {
        double entries =
                (double) TargetSize.ENTRIES * TargetSize.CONNECTED_TARGETS / TargetSize.TARGETS;
        double connections =
                entries + 2 * slopes.valueAt("membership neighbours", processesPerRegion());
        List<Line> lines = new ArrayList<>(membership(slopes, connections));
        lines.add(settings(slopes));
        double loadReports = entries * TargetSize.LOAD_REPORTS_PER_SECOND;
        double fullReports = entries * TargetSize.FULL_REPORTS_PER_SECOND;
        lines.add(
                new Line(
                        "reports to " + Math.round(entries) + " entries",
                        0,
                        0,
                        loadReports + fullReports,
                        slopes.valueAt("target load, bytes", TargetSize.RESIDENT_ADAPTERS)
                                        * loadReports
                                + slopes.valueAt(
                                                "target report, bytes",
                                                TargetSize.RESIDENT_ADAPTERS)
                                        * fullReports));
        double requests = (double) TargetSize.REQUESTS_PER_SECOND / TargetSize.TARGETS;
        lines.add(
                new Line(
                        "queue",
                        slopes.valueAt("scheduler heap", 100),
                        corePercent(
                                slopes.valueAt(
                                                "scheduler request, processor",
                                                TargetSize.RESIDENT_ADAPTERS)
                                        * requests),
                        0,
                        0));
        return new RoleEstimate("target", lines);
    }

    /** Looks up slopes by name. */
    private static final class Slopes {
        private final Map<String, Slope> mByName;

        Slopes(List<Slope> slopes) {
            mByName = slopes.stream().collect(Collectors.toMap(Slope::name, Function.identity()));
        }

        double valueAt(String name, double size) {
            return slope(name).valueAt(size);
        }

        double gradient(String name) {
            return slope(name).gradient();
        }

        private Slope slope(String name) {
            Slope slope = mByName.get(name);
            if (slope == null) {
                throw new IllegalArgumentException("no slope was measured with the name " + name);
            }
            return slope;
        }
    }
}
