package ebonygw.cli;

import ebonygw.peer.PeerAddresses;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/** The command {@code dump}: prints the internal state of a running process as JSON. */
final class DumpCommand implements Command {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    @Override
    public int run(List<String> args, PrintStream out, PrintStream err) throws Exception {
        Flags flags = new Flags();
        CmdLineParser parser =
                new CmdLineParser(flags, ParserProperties.defaults().withShowDefaults(true));
        InetSocketAddress address;
        try {
            parser.parseArgument(args);
            address = PeerAddresses.parse(flags.mAddress);
        } catch (CmdLineException | IllegalArgumentException e) {
            err.println(e.getMessage());
            return USAGE;
        }
        if (flags.mHelp) {
            parser.printUsage(out);
            return OK;
        }
        return print(address, out, err);
    }

    private static int print(InetSocketAddress address, PrintStream out, PrintStream err)
            throws InterruptedException {
        String host = address.getAddress().getHostAddress();
        String uriHost = host.contains(":") ? "[" + host + "]" : host;
        URI uri = URI.create("http://" + uriHost + ":" + address.getPort() + "/dump");
        try {
            HttpResponse<String> response =
                    HttpClient.newBuilder()
                            .connectTimeout(TIMEOUT)
                            .build()
                            .send(
                                    HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(),
                                    HttpResponse.BodyHandlers.ofString());
            out.println(response.body());
            return response.statusCode() == 200 ? OK : FAILED;
        } catch (IOException e) {
            err.println("cannot reach " + uri + ": " + e);
            return FAILED;
        }
    }

    /** Command line options. */
    private static final class Flags {
        @Option(name = "--address", metaVar = "IP:PORT", usage = "operator address of the process")
        private String mAddress = "127.0.0.1:7401";

        @Option(name = "--help", usage = "print this help")
        private boolean mHelp;
    }
}
