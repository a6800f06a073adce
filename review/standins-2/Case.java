import java.nio.file.Path;

/** What all cases have in common: the record, the exit status and a limit on the time. */
interface Case {
    int BROKEN = 1;
    int HELD = 0;
    int CANNOT_RUN = 2;

    /** A case takes 120 seconds at most. */
    long LIMIT_MILLIS = 110_000;

    /** Plays the case; returns whether the rule was broken or held, or the case cannot run. */
    int play(Record record, boolean trouble) throws Exception;

    /** Plays a case and ends this process with its status. */
    static void main(String[] args, Case played) {
        HttpPeer.thread(
                () -> {
                    Record.pause(LIMIT_MILLIS);
                    System.out.println("out of time");
                    Fleet.killAll();
                    Runtime.getRuntime().halt(CANNOT_RUN);
                });
        Runtime.getRuntime().addShutdownHook(new Thread(Fleet::killAll));
        int status = CANNOT_RUN;
        try {
            Record record = new Record(Path.of(args[0], "record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.add(trouble ? "with the disruption" : "without the disruption");
            status = played.play(record, trouble);
            record.add("exit status %d", status);
        } catch (Exception cannotRun) {
            cannotRun.printStackTrace();
        }
        System.out.println("exit status " + status);
        Fleet.killAll();
        Runtime.getRuntime().halt(status);
    }
}
