package ebonygw.process;

import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.EntryNode;
import ebonygw.EntryNodeOptions;
import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.TargetNode;
import ebonygw.TargetNodeOptions;
import ebonygw.membership.Member;

/** Creates the nodes of entry and target processes from their settings. */
final class NodeFactory {
    private NodeFactory() {}

    /** Returns the driver of an entry node. */
    static NodeDriver<EntryEvent, EntryEffect> driver(EntryNode node) {
        return new NodeDriver<>(node::handle, node::dump, node::ready, node::settings);
    }

    /**
     * Creates the node of an entry process.
     *
     * @param self this process, with its incarnation and address
     * @param seed seed of the random decisions of the node
     */
    static EntryNode entry(EntrySettings settings, Member self, long seed) {
        EntryNodeOptions defaults = EntryNodeOptions.defaults(self, seed);
        return new EntryNode(
                new EntryNodeOptions(
                        self,
                        settings.maxRequests(),
                        defaults.credit(),
                        settings.maxTargetConnections(),
                        settings.common().fleetSize(),
                        settings.weightStores(),
                        settings.acceptNanos(),
                        settings.common().stopTimeoutNanos(),
                        seed));
    }

    /**
     * Creates the node of a target process and returns its driver.
     *
     * @param self this process, with its incarnation and address
     * @param seed seed of the random decisions of the node
     */
    static NodeDriver<TargetEvent, TargetEffect> target(
            TargetSettings settings, Member self, long seed) {
        TargetNode node =
                new TargetNode(
                        new TargetNodeOptions(
                                self,
                                settings.engine(),
                                settings.checksFencingTokens(),
                                settings.hostExclusive(),
                                settings.common().fleetSize(),
                                settings.weightStore(),
                                settings.maxQueue(),
                                settings.concurrency(),
                                settings.maxOrderNanos(),
                                settings.common().stopTimeoutNanos(),
                                seed));
        return new NodeDriver<>(node::handle, node::dump, node::ready, node::settings);
    }
}
