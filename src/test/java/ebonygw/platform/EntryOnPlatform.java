package ebonygw.platform;

import ebonygw.caller.RawCaller;
import ebonygw.process.GatewayProcess;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** An entry over real sockets with a store and a replica with scripted responses. */
abstract class EntryOnPlatform {
    static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(20);
    static final String NON_IDEMPOTENT_PATH = "/book/1";
    static final String IDEMPOTENT_PATH = "/look/1";
    static final String STREAMING_PATH = "/tell/1";

    final StoreStandIn mStore = new StoreStandIn();
    ScriptedReplica mReplica;
    GatewayProcess mEntry;
    private int mRequestCount;

    static String configuration() {
        return """
        {"version":7,"routes":[
          {"name":"book","hostname":"h","prefix":"/book/","type":"non_idempotent",
           "timeout_ms":3000,"max_attempts":1,"backend":"desk","public":false},
          {"name":"look","hostname":"h","prefix":"/look/","type":"idempotent",
           "timeout_ms":3000,"max_attempts":2,"backend":"desk","public":false},
          {"name":"tell","hostname":"h","prefix":"/tell/","type":"streaming","resumable":false,
           "timeout_ms":3000,"max_attempts":1,"backend":"desk","public":false}],
         "backends":[{"name":"desk","health_path":"/h","max_connections":10}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
           "header_timeout_ms":3000,"idle_timeout_ms":15000},
         "tenants":[{"name":"t1","api_keys":["k1"]}]}
        """;
    }

    static String registration(String address) {
        return "{\"backend\":\"desk\",\"address\":\""
                + address
                + "\",\"zone\":\"z1\",\"slots\":6,\"state\":\"ready\",\"born\":1}";
    }

    @BeforeEach
    void start() throws Exception {
        mReplica = new ScriptedReplica();
        mStore.put("op/config", configuration());
        mStore.put("servers/i-1", registration(mReplica.address()));
        mEntry = LoopbackEntry.start(mStore);
    }

    @AfterEach
    void stop() throws IOException {
        mEntry.close();
        mReplica.close();
        mStore.close();
    }

    RawCaller caller() throws IOException {
        return new RawCaller(mEntry.callerAddress());
    }

    RawCaller send(RawCaller caller, String path) throws IOException {
        mRequestCount++;
        return caller.send(
                RawCaller.post(
                        path,
                        "Attempt-Id: r"
                                + mRequestCount
                                + "\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 2500\r\n",
                        "body"));
    }

    RawCaller.Response request(String path) throws IOException {
        try (RawCaller caller = caller()) {
            return send(caller, path).readResponse();
        }
    }
}
