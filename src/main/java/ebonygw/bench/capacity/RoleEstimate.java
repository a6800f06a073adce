package ebonygw.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What one process of a role needs at the target size, added up from slopes.
 *
 * @param role the role
 * @param lines the parts
 */
record RoleEstimate(String role, List<Line> lines) {
    private static final double NANOS_PER_PERCENT = 1e7;

    /** Creates the estimate. */
    RoleEstimate {
        lines = List.copyOf(lines);
    }

    /**
     * One part of a role's need.
     *
     * @param part what needs it
     * @param heapBytes live heap
     * @param corePercent processor time in percent of a core
     * @param messagesPerSecond messages sent a second
     * @param sentBytesPerSecond bytes of these messages a second, without packets' headers
     */
    record Line(
            String part,
            double heapBytes,
            double corePercent,
            double messagesPerSecond,
            double sentBytesPerSecond) {
        private static final double HEADER_BYTES = 52;

        /** Returns the bytes sent a second if each message goes in a packet of its own. */
        double packetBytesPerSecond() {
            return sentBytesPerSecond + HEADER_BYTES * messagesPerSecond;
        }
    }

    /** Returns the estimates of all roles. */
    static List<RoleEstimate> all(List<Slope> slopes) {
        Slopes by = new Slopes(slopes);
        return List.of(entry(by), target(by));
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

    private static RoleEstimate entry(Slopes by) {
        List<Line> lines = new ArrayList<>();
        double links = TargetSize.LINKED_TARGETS + 2 * by.at("membership neighbours", perRegion());
        lines.addAll(membership(by, links));
        double shareLinks = by.at("share links, most of one entry", TargetSize.NODES);
        lines.add(idle(by, "links for shares, at most " + Math.round(shareLinks), shareLinks));
        lines.add(settings(by));
        double reports =
                TargetSize.LINKED_TARGETS
                        * (TargetSize.LOADS_PER_SECOND + TargetSize.WHOLE_REPORTS_PER_SECOND);
        lines.add(
                new Line(
                        "router: reports of its targets",
                        by.at("router heap", TargetSize.LINKED_TARGETS),
                        percent(by.at("target report, processor", TargetSize.RESIDENT) * reports),
                        0,
                        0));
        double requests = (double) TargetSize.REQUESTS_PER_SECOND / TargetSize.NODES;
        double choice = by.at("router choice, processor", TargetSize.LINKED_TARGETS);
        double admission = by.at("shares admission, processor", TargetSize.CUSTOMERS);
        lines.add(
                new Line(
                        "choice and admission of requests",
                        by.at("router heap of demand", TargetSize.ADAPTERS),
                        percent((choice + admission) * requests),
                        0,
                        0));
        lines.add(
                new Line(
                        "shares of customers",
                        by.at("shares heap", TargetSize.CUSTOMERS),
                        0,
                        by.at("shares messages", TargetSize.CUSTOMERS),
                        by.at("shares sent bytes", TargetSize.CUSTOMERS)));
        return new RoleEstimate("entry", lines);
    }

    private static Line idle(Slopes by, String part, double links) {
        return new Line(
                part,
                0,
                percent(by.each("membership idle, processor") * links),
                by.each("membership idle, messages") * links,
                by.each("membership idle, sent bytes") * links);
    }

    private static List<Line> membership(Slopes by, double links) {
        int processes = TargetSize.processes();
        double changes = TargetSize.memberChangesPerSecond();
        return List.of(
                new Line("members", by.at("membership heap", processes), 0, 0, 0),
                new Line(
                        "members' changes",
                        0,
                        percent(by.at("membership change, processor", processes) * changes),
                        by.at("membership change, messages", processes) * changes,
                        by.at("membership change, sent bytes", processes) * changes),
                idle(by, "heartbeats on " + Math.round(links) + " links", links));
    }

    private static double perRegion() {
        return (double) TargetSize.processes() / TargetSize.REGIONS;
    }

    private static double percent(double nanosPerSecond) {
        return nanosPerSecond / NANOS_PER_PERCENT;
    }

    private static Line settings(Slopes by) {
        double changes = TargetSize.settingsChangesPerSecond();
        double bytes = by.at("settings change, bytes", TargetSize.ADAPTERS) * changes;
        return new Line(
                "settings",
                by.at("settings heap per adapter", TargetSize.ADAPTERS)
                        + by.each("settings heap per customer") * TargetSize.CUSTOMERS,
                percent(by.at("settings change, processor", TargetSize.ADAPTERS) * changes),
                changes,
                bytes);
    }

    private static RoleEstimate target(Slopes by) {
        double entries =
                (double) TargetSize.NODES * TargetSize.LINKED_TARGETS / TargetSize.REPLICAS;
        double links = entries + 2 * by.at("membership neighbours", perRegion());
        List<Line> lines = new ArrayList<>(membership(by, links));
        lines.add(settings(by));
        double loads = entries * TargetSize.LOADS_PER_SECOND;
        double wholes = entries * TargetSize.WHOLE_REPORTS_PER_SECOND;
        lines.add(
                new Line(
                        "reports to " + Math.round(entries) + " entries",
                        0,
                        0,
                        loads + wholes,
                        by.at("target load, bytes", TargetSize.RESIDENT) * loads
                                + by.at("target report, bytes", TargetSize.RESIDENT) * wholes));
        double requests = (double) TargetSize.REQUESTS_PER_SECOND / TargetSize.REPLICAS;
        lines.add(
                new Line(
                        "queue",
                        by.at("scheduler heap", 100),
                        percent(
                                by.at("scheduler request, processor", TargetSize.RESIDENT)
                                        * requests),
                        0,
                        0));
        return new RoleEstimate("target", lines);
    }

    /** Slopes by name. */
    private static final class Slopes {
        private final Map<String, Slope> mByName;

        Slopes(List<Slope> slopes) {
            mByName = slopes.stream().collect(Collectors.toMap(Slope::name, Function.identity()));
        }

        double at(String name, double size) {
            return slope(name).at(size);
        }

        double each(String name) {
            return slope(name).each();
        }

        private Slope slope(String name) {
            Slope slope = mByName.get(name);
            if (slope == null) {
                throw new IllegalArgumentException("no slope " + name);
            }
            return slope;
        }
    }
}
