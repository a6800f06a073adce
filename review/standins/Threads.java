import java.io.IOException;

/** Starts the threads of the stand-ins. */
final class Threads {
    private Threads() {}

    /** A task that may end with a lost connection. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Starts a daemon thread that ends silently when its connection or listener closes. */
    static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException ended) {
                                return;
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
