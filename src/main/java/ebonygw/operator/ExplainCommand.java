package ebonygw.operator;

import ebonygw.cli.Command;
import ebonygw.log.LogFields;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Merges the log lines of several processes about one request in order of time and prints the
 * decision that ended the request: {@code explain --request ID FILE...}.
 */
public final class ExplainCommand implements Command {
    /** Events that end a request, or an attempt without a retry, with the field of the reason. */
    private static final Map<String, String> REASON_FIELDS =
            Map.of("request_refused", "code", "attempt_ended", "why", "request_ended", "outcome");

    /** Events that change what a process knows of a target or adapter. */
    private static final Set<String> CONTEXT_EVENTS =
            Set.of("target_ejected", "target_gone", "order_done", "replica_lost");

    /** Events that concern all requests with a prompt part, whenever they were logged. */
    private static final Set<String> PART_EVENTS =
            Set.of("part_blocked", "part_unblocked", "part_block_read", "part_lifted");

    /** Events that explain a request to which targets were denied because of an evacuation. */
    private static final Set<String> EVACUATION_EVENTS =
            Set.of("evacuation_started", "evacuation_ended");

    /** Creates the command. */
    public ExplainCommand() {}

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws IOException {
        boolean validArguments = args.size() >= 3 && args.get(0).equals("--request");
        if (!validArguments) {
            err.println("usage: ebonygw explain --request ID FILE...");
            return args.contains("--help") ? OK : USAGE;
        }
        String request = args.get(1);
        List<Line> lines = new ArrayList<>();
        for (String file : args.subList(2, args.size())) {
            readEvents(Path.of(file), lines);
        }
        List<Line> requestLines = lines.stream().filter(it -> it.belongsTo(request)).toList();
        if (requestLines.isEmpty()) {
            err.println("no line about request " + request);
            return FAILED;
        }
        List<Line> printed = new ArrayList<>(requestLines);
        lines.stream().filter(it -> it.isContextOf(requestLines)).forEach(printed::add);
        printed.sort(Comparator.comparing(Line::time));
        printed.forEach(it -> out.println(it.file() + ": " + it.text()));
        endingDecision(requestLines).ifPresent(out::println);
        return OK;
    }

    /**
     * Describes the first decision that ended the request, leaving out attempts that were retried;
     * empty if the lines hold none.
     */
    private static Optional<String> endingDecision(List<Line> requestLines) {
        return requestLines.stream()
                .sorted(Comparator.comparing(Line::time))
                .filter(it -> REASON_FIELDS.containsKey(it.event()))
                .filter(it -> !it.field("retry").equals("true"))
                .findFirst()
                .map(
                        it ->
                                "ended by %s: %s %s, may have run: %s"
                                        .formatted(
                                                it.event(),
                                                it.field(REASON_FIELDS.get(it.event())),
                                                it.field("detail"),
                                                mayHaveRun(it)));
    }

    private static String mayHaveRun(Line line) {
        String verdict = line.field("verdict");
        return verdict.isEmpty() ? line.field("may_have_run") : verdict;
    }

    private static void readEvents(Path file, List<Line> lines) throws IOException {
        try (Stream<String> texts = Files.lines(file)) {
            texts.filter(text -> text.contains("event="))
                    .forEach(
                            text ->
                                    lines.add(
                                            new Line(
                                                    file.getFileName().toString(),
                                                    text,
                                                    LogFields.parse(text))));
        }
    }

    private record Line(String file, String text, Map<String, String> fields) {
        String event() {
            return field("event");
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        boolean belongsTo(String request) {
            return field("request").equals(request);
        }

        /**
         * Returns whether this line is a context event of a target or adapter of a request, logged
         * between the first and last line of that request.
         */
        boolean isContextOf(List<Line> requestLines) {
            if (PART_EVENTS.contains(event())) {
                String part = "part " + field("part");
                return requestLines.stream().anyMatch(it -> it.field("detail").equals(part));
            }
            if (EVACUATION_EVENTS.contains(event())) {
                return requestLines.stream()
                        .anyMatch(
                                it ->
                                        it.field("detail").contains(" EVACUATED=")
                                                && !time().isAfter(it.time()));
            }
            if (!CONTEXT_EVENTS.contains(event())) {
                return false;
            }
            Instant first =
                    requestLines.stream().map(Line::time).min(Instant::compareTo).orElseThrow();
            Instant last =
                    requestLines.stream().map(Line::time).max(Instant::compareTo).orElseThrow();
            boolean during = !time().isBefore(first) && !time().isAfter(last);
            return during
                    && requestLines.stream()
                            .anyMatch(
                                    it -> sharesField(it, "target") || sharesField(it, "adapter"));
        }

        /**
         * Returns the time of the line, the epoch if it is missing or malformed. Parsed because
         * fractions of a second differ in length and so do not compare as text.
         */
        Instant time() {
            try {
                return Instant.parse(field("time"));
            } catch (DateTimeParseException e) {
                return Instant.EPOCH;
            }
        }

        private boolean sharesField(Line other, String name) {
            return !field(name).isEmpty() && field(name).equals(other.field(name));
        }
    }
}
