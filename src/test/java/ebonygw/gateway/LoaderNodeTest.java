package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.KeyValueReply.Entry;
import ebonygw.membership.MemberMessage;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class LoaderNodeTest {
    private static final long MILLI = 1_000_000L;
    private static final NodeId ENTRY = new NodeId("entry-1");

    private final List<GatewayEffect> mEffects = new ArrayList<>();
    private final Map<String, Long> mAdapters = new TreeMap<>();
    private final List<String> mLoading = new ArrayList<>();
    private final List<GatewayMessage.AdapterNeed> mNeeds = new ArrayList<>();
    private final Map<String, Long> mModels = new TreeMap<>(Map.of("m0", 1L));
    private final Map<String, EngineLimits.Model> mEngineModels =
            new TreeMap<>(Map.of("m0", new EngineLimits.Model(34_000, 40)));
    private final LoaderNode mNode = node();
    private long mNowNanos = 1_792_756_569_002_000_070L;
    private String mInstance = "i-1";
    private long mOrders;
    private long mToken = 40;
    private boolean mClaimsAnswered = true;

    private void advance(long millis) {
        mNowNanos += millis * MILLI;
        handle(new GatewayEvent.Tick());
    }

    private void ask(String adapter) {
        mNeeds.add(new GatewayMessage.AdapterNeed(adapter, 0, 1, 1, 0, 0));
        tellNeeds();
    }

    private void run(String adapter) {
        mNeeds.add(new GatewayMessage.AdapterNeed(adapter, 0, 0, 0, 1, 1));
        tellNeeds();
    }

    private void tellNeeds() {
        handle(new GatewayEvent.PeerSaid(ENTRY, 1, new GatewayMessage.AdapterNeeds(mNeeds)));
    }

    private void done(TargetOrder order, TargetOrder.Outcome outcome) {
        handle(new GatewayEvent.OrderDone(order, outcome));
    }

    private void handle(GatewayEvent event) {
        mNode.handle(event, mNowNanos, this::take);
    }

    private List<TargetOrder> orders() {
        return mEffects.stream()
                .filter(GatewayEffect.Order.class::isInstance)
                .map(it -> ((GatewayEffect.Order) it).order())
                .toList();
    }

    private void start() {
        handle(new GatewayEvent.PeerUp(ENTRY, 1));
        advance(25);
        advance(25);
    }

    private void take(GatewayEffect effect) {
        answerOf(mNode, effect);
    }

    /** Notes an effect and answers it as replica and store. */
    private void answerOf(LoaderNode node, GatewayEffect effect) {
        mEffects.add(effect);
        if (effect instanceof GatewayEffect.ReadReport) {
            GatewayEvent read = new GatewayEvent.StatusRead(Optional.of(status()));
            node.handle(read, mNowNanos, next -> answerOf(node, next));
        } else if (effect instanceof GatewayEffect.KeyValue call) {
            answer(node, call.callId(), call.call());
        }
    }

    private LoaderNode node() {
        return new LoaderNode(
                LoaderOptions.of("side-1", "model", "10.2.0.1:80", new Reader(), 3_000 * MILLI));
    }

    private void answer(LoaderNode node, long id, KeyValueCall call) {
        if (call instanceof KeyValueCall.Range) {
            Entry entry = new Entry("op/config", ByteString.EMPTY, 1, 0);
            KeyValueReply found = new KeyValueReply.Found(1, List.of(entry), false);
            reply(node, id, found);
        } else if (call instanceof KeyValueCall.Transaction && mClaimsAnswered) {
            reply(node, id, new KeyValueReply.Committed(++mToken, true));
        }
    }

    private void reply(LoaderNode node, long id, KeyValueReply reply) {
        node.handle(
                new GatewayEvent.KeyValueReplied(id, reply),
                mNowNanos,
                next -> answerOf(node, next));
    }

    private TargetStatus status() {
        return new TargetStatus(mInstance, 1, false, mOrders, 3, 0, mModels, mAdapters, mLoading);
    }

    @Test
    void theReplicaIsReadAtTheFirstTick() {
        handle(new GatewayEvent.Tick());

        assertThat(mEffects).contains(new GatewayEffect.ReadReport("/health"));
    }

    @Test
    void nothingIsOrderedBeforeTheClaimIsWritten() {
        mClaimsAnswered = false;
        start();

        ask("m0/a1");
        advance(100);

        assertThat(orders()).isEmpty();
    }

    @Test
    void anAdapterAskedForIsLoadedUnderTheTokenAndTheNumberOfOrdersBefore() {
        mOrders = 7;
        start();

        ask("m0/a1");

        assertThat(orders()).hasSize(1);
        TargetOrder order = orders().get(0);
        assertThat(order.operation()).isEqualTo(TargetOrder.Operation.LOAD);
        assertThat(order.adapter()).isEqualTo("m0/a1");
        assertThat(order.fencingToken()).isEqualTo(41);
        assertThat(order.expectedOrders()).isEqualTo(7);
    }

    @Test
    void nothingIsOrderedOfAReplicaWhoseInstanceIsNotKnown() {
        mInstance = "";
        start();

        ask("m0/a1");
        advance(200);
        assertThat(orders()).isEmpty();
        mInstance = "i-2";
        advance(200);

        assertThat(orders()).extracting(TargetOrder::instance).containsExactly("i-2");
    }

    @Test
    void oneOrderIsOpenAtATime() {
        start();

        ask("m0/a1");
        ask("m0/a2");
        advance(100);

        assertThat(orders()).hasSize(1);
    }

    @Test
    void noMoreAdaptersAreOrderedThanTheReplicaHolds() {
        for (int i = 0; i < 6; i++) {
            mAdapters.put("m0/b" + i, 1L);
        }
        mLoading.add("m0/c1");
        mLoading.add("m0/c2");
        start();
        for (int i = 0; i < 6; i++) {
            run("m0/b" + i);
        }

        ask("m0/a1");

        assertThat(orders()).isEmpty();
    }

    @Test
    void aFullReplicaEvictsAnIdleAdapterFirst() {
        for (int i = 0; i < 8; i++) {
            mAdapters.put("m0/b" + i, 1L);
        }
        start();
        advance(1_000);
        run("m0/b0");
        run("m0/b1");

        ask("m0/a1");

        assertThat(orders()).hasSize(1);
        assertThat(orders().get(0).operation()).isEqualTo(TargetOrder.Operation.UNLOAD);
        assertThat(orders().get(0).adapter()).isNotIn("m0/b0", "m0/b1");
    }

    @Test
    void afterAnUnansweredOrderTheReplicaIsReadBeforeTheNext() {
        start();
        ask("m0/a1");
        TargetOrder first = orders().get(0);
        mOrders = 1;
        mLoading.add("m0/a1");

        done(first, TargetOrder.Outcome.UNKNOWN);
        advance(400);

        assertThat(orders()).hasSize(1);
    }

    @Test
    void aFencedLoaderOrdersNothingUntilItHasANewToken() {
        start();
        ask("m0/a1");

        done(orders().get(0), TargetOrder.Outcome.FENCED);
        ask("m0/a1");
        advance(3_000);
        assertThat(orders()).hasSize(1);
        advance(3_100);
        ask("m0/a1");

        assertThat(orders()).hasSize(2);
        assertThat(orders().get(1).fencingToken()).isEqualTo(42);
    }

    @Test
    void anEmptyReplicaLoadsAModel() {
        start();
        mModels.clear();

        advance(200);

        assertThat(orders()).hasSize(1);
        assertThat(orders().get(0).model()).isEqualTo("m0");
        assertThat(orders().get(0).adapter()).isEmpty();
    }

    @Test
    void anEmptyReplicaOfSeveralModelsLoadsTheOneThatItHeldBefore() {
        mEngineModels.put("m1", new EngineLimits.Model(300, 40));
        mEngineModels.put("m2", new EngineLimits.Model(300, 40));
        for (String held : List.of("m1", "m2")) {
            mModels.clear();
            mModels.put(held, 1L);
            LoaderNode node = node();
            node.handle(new GatewayEvent.Tick(), mNowNanos, effect -> answerOf(node, effect));
            mModels.clear();
            mEffects.clear();
            node.handle(
                    new GatewayEvent.Tick(),
                    mNowNanos + 500 * MILLI,
                    effect -> answerOf(node, effect));

            assertThat(orders()).extracting(TargetOrder::model).containsExactly(held);
        }
    }

    @Test
    void entriesAreToldWhatIsResident() {
        mAdapters.put("m0/b1", 3L);

        start();

        assertThat(mEffects)
                .anySatisfy(
                        effect -> {
                            assertThat(effect).isInstanceOf(GatewayEffect.Send.class);
                            Object message = ((GatewayEffect.Send) effect).message();
                            assertThat(message).isInstanceOf(MemberMessage.TargetReport.class);
                            assertThat(((MemberMessage.TargetReport) message).resident())
                                    .containsExactly(new AdapterVersion("m0/b1", "3"));
                        });
    }

    private final class Reader implements StoreReader {
        @Override
        public String operatorPrefix() {
            return "op/";
        }

        @Override
        public Optional<GatewaySettings> settings(Entry entry) {
            EngineLimits engine = new EngineLimits(96, 100_000, 8, 35_000, mEngineModels);
            return Optional.of(
                    new GatewaySettings(
                            1,
                            List.of(),
                            List.of(
                                    new GatewayService(
                                            "model", 500, "/health", Optional.of(engine))),
                            List.of(),
                            1));
        }

        @Override
        public Optional<TargetRecord> target(Entry entry) {
            return Optional.empty();
        }

        @Override
        public String targetPrefix() {
            return "servers/";
        }

        @Override
        public Optional<WantedVersion> wantedVersion(Entry entry) {
            return Optional.empty();
        }
    }
}
