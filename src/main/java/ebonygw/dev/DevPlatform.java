package ebonygw.dev;

import ebonygw.membership.HostList;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.standin.EngineStandIn;
import ebonygw.standin.EngineStandInOptions;
import ebonygw.standin.HostListStandIn;
import ebonygw.standin.KeyValueStandIn;
import ebonygw.standin.PlainServiceStandIn;
import ebonygw.standin.WeightStoreStandIn;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-ins for the platform services and the targets, on the loopback address.
 *
 * <p>Thread-safe.
 */
public final class DevPlatform implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final double LOADS_PER_SECOND = 3;
    private static final long LOAD_DURATION_NANOS = 250_000_000L;

    /** Loads in flight up to which the weight store serves each at full speed. */
    private static final int FULL_SPEED_LOADS = 8;

    private static final long SERVICE_DELAY_NANOS = 5_000_000L;

    private final KeyValueStandIn mKeyValue;
    private final HostListStandIn mHosts = new HostListStandIn(LOOPBACK, 0);
    private final List<EngineStandIn> mEngines = new ArrayList<>();
    private final PlainServiceStandIn mService =
            new PlainServiceStandIn(LOOPBACK, 0, SERVICE_DELAY_NANOS);
    private final Map<String, Member> mHostListMembers = new LinkedHashMap<>();

    /**
     * Starts the stand-ins, with engines of the default options.
     *
     * @param engines number of model engines
     * @param seed seed of the faults that the key-value service injects
     */
    public DevPlatform(int engines, long seed) {
        this(engines, seed, EngineStandInOptions.local());
    }

    /**
     * Starts the stand-ins.
     *
     * @param engines number of model engines
     * @param seed seed of the faults that the key-value service injects
     * @param options options of each engine
     */
    public DevPlatform(int engines, long seed, EngineStandInOptions options) {
        mKeyValue = new KeyValueStandIn(new InetSocketAddress(LOOPBACK, 0), seed);
        mHosts.start();
        mService.start();
        WeightStoreStandIn store =
                new WeightStoreStandIn(LOADS_PER_SECOND, LOAD_DURATION_NANOS, FULL_SPEED_LOADS);
        for (int i = 0; i < engines; i++) {
            EngineStandIn engine = new EngineStandIn(options, store);
            engine.start();
            mEngines.add(engine);
        }
    }

    /** Adds a process to the host list as live, in place of one with the same id. */
    public synchronized void addToHostList(Member process) {
        mHostListMembers.put(process.id().name(), process.withState(MemberState.LIVE));
        mHosts.setHosts(
                new HostList(mHostListMembers.values().stream().map(HostList.Host::new).toList()));
    }

    @Override
    public void close() {
        mEngines.forEach(EngineStandIn::stop);
        mService.stop();
        mHosts.stop();
        mKeyValue.close();
    }

    /** Returns the model engines. */
    public List<EngineStandIn> engines() {
        return List.copyOf(mEngines);
    }

    /** Returns the flags with which a process finds the key-value service and the host list. */
    public List<String> flags() {
        return List.of(
                "--key-value=" + mKeyValue.endpoint(),
                "--host-list=http://" + toHostPort(mHosts.address()) + "/hosts");
    }

    /** Returns the host list. */
    public HostListStandIn hosts() {
        return mHosts;
    }

    /** Returns the key-value service. */
    public KeyValueStandIn keyValue() {
        return mKeyValue;
    }

    /** Returns the plain service. */
    public PlainServiceStandIn service() {
        return mService;
    }

    /** Returns {@code ip:port} for an address that a stand-in listens on. */
    static String toHostPort(InetSocketAddress address) {
        return LOOPBACK + ":" + address.getPort();
    }
}
