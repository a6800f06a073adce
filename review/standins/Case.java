import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private Case() {}

    /** A case; the exit status tells whether the rule held. */
    interface Scenario {
        int run(Path directory, Record record, boolean trouble) throws Exception;
    }

    static void main(Scenario scenario, String[] arguments) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Files.createTempDirectory("ebonygw-review-");
        int status = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[0]).resolve("record.txt"))) {
            record.add("start trouble=%s", trouble);
            try {
                status = scenario.run(directory, record, trouble);
            } catch (Throwable failure) {
                record.add("the case couldn't run: %s", failure);
            }
            record.add("exit %d", status);
        }
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.out.println("logs: " + directory);
        }
        System.exit(status);
    }

    /** Returns a config with plain services that have one route each, and one tenant. */
    static String config(long version, List<String> routes, List<String> services, int idleMillis) {
        return """
        {"version":%d,"routes":[%s],"backends":[%s],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
          "idle_timeout_ms":%d},
         "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"unit":"token_count",
          "uncached_tokens":200,"rate_per_s":0,"burst":0}]}"""
                .formatted(version, String.join(",", routes), String.join(",", services), idleMillis);
    }

    static String route(String name, String type, String service, int timeoutMillis, int attempts) {
        return """
        {"name":"%s","hostname":"h.example","prefix":"/%s/","type":"%s","timeout_ms":%d,
         "target_latency_ms":1000,"priority":1,"backend":"%s","max_attempts":%d,"public":false,
         "sticky":false,"resumable":false}"""
                .formatted(name, name, type, timeoutMillis, service, attempts);
    }

    static String service(String name, int maxConnections) {
        return """
        {"name":"%s","health_path":"/healthz","max_connections":%d,"protocol":"h1","tls":false}"""
                .formatted(name, maxConnections);
    }
}
