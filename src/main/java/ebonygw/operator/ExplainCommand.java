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
 * Puts the log lines of several processes about one request in order and names the decision that
 * ended it: {@code explain --request ID FILE...}.
 */
public final class ExplainCommand implements Command {
    /** Events that end a request, or an attempt without a retry, with the field that says why. */
    private static final Map<String, String> DECISIONS =
            Map.of("request_refused", "code", "attempt_ended", "why", "request_ended", "outcome");

    /** Events that change what a process believes of a target or adapter of the request. */
    private static final Set<String> CONTEXT =
            Set.of("target_ejected", "target_gone", "order_done", "replica_lost");

    /** Creates the command. */
    public ExplainCommand() {}

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws IOException {
        boolean named = args.size() >= 3 && args.get(0).equals("--request");
        if (!named) {
            err.println("usage: ebonygw explain --request ID FILE...");
            return args.contains("--help") ? OK : USAGE;
        }
        String request = args.get(1);
        List<Line> lines = new ArrayList<>();
        for (String file : args.subList(2, args.size())) {
            read(Path.of(file), lines);
        }
        List<Line> about = lines.stream().filter(it -> it.isAbout(request)).toList();
        if (about.isEmpty()) {
            err.println("no line about request " + request);
            return FAILED;
        }
        List<Line> told = new ArrayList<>(about);
        lines.stream().filter(it -> it.isContextOf(about)).forEach(told::add);
        told.sort(Comparator.comparing(Line::time));
        told.forEach(it -> out.println(it.file() + ": " + it.text()));
        ending(about).ifPresent(out::println);
        return OK;
    }

    /** Returns the decision that ended a request, in words. */
    private static Optional<String> ending(List<Line> about) {
        return about.stream()
                .sorted(Comparator.comparing(Line::time))
                .filter(it -> DECISIONS.containsKey(it.event()))
                .filter(it -> !it.field("retry").equals("true"))
                .findFirst()
                .map(
                        it ->
                                "ended by %s: %s %s, may have run: %s"
                                        .formatted(
                                                it.event(),
                                                it.field(DECISIONS.get(it.event())),
                                                it.field("detail"),
                                                mayHaveRun(it)));
    }

    private static String mayHaveRun(Line line) {
        String verdict = line.field("verdict");
        return verdict.isEmpty() ? line.field("may_have_run") : verdict;
    }

    private static void read(Path file, List<Line> lines) throws IOException {
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

        boolean isAbout(String request) {
            return field("request").equals(request);
        }

        /** Returns whether it tells of a target or adapter of a request, while that was open. */
        boolean isContextOf(List<Line> about) {
            if (!CONTEXT.contains(event())) {
                return false;
            }
            Instant first = about.stream().map(Line::time).min(Instant::compareTo).orElseThrow();
            Instant last = about.stream().map(Line::time).max(Instant::compareTo).orElseThrow();
            boolean during = !time().isBefore(first) && !time().isAfter(last);
            return during
                    && about.stream().anyMatch(it -> shares(it, "target") || shares(it, "adapter"));
        }

        /** Returns its time, the epoch if it has none; fractions differ in length. */
        Instant time() {
            try {
                return Instant.parse(field("time"));
            } catch (DateTimeParseException malformed) {
                return Instant.EPOCH;
            }
        }

        private boolean shares(Line other, String name) {
            return !field(name).isEmpty() && field(name).equals(other.field(name));
        }
    }
}
