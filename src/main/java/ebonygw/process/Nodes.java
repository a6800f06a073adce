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

/** Makes the nodes of processes from their settings. */
final class Nodes {
    private Nodes() {}

    /** Returns a node as the process around it sees it. */
    static NodeDriver<EntryEvent, EntryEffect> driver(EntryNode node) {
        return new NodeDriver<>(node::handle, node::dump, node::ready, node::settings);
    }

    /**
     * Returns the node of an entry process.
     *
     * @param settings the process's settings
     * @param self the process with its incarnation and address
     * @param seed seed of its random decisions
     */
    static EntryNode entry(EntrySettings settings, Member self, long seed) {
        EntryNodeOptions usual = EntryNodeOptions.defaults(self, seed);
        return new EntryNode(
                new EntryNodeOptions(
                        self,
                        settings.maxRequests(),
                        usual.credit(),
                        settings.maxLinks(),
                        settings.common().fleetSize(),
                        settings.weightStores(),
                        settings.acceptNanos(),
                        settings.common().stopTimeoutNanos(),
                        seed));
    }

    /**
     * Returns the node of a target process.
     *
     * @param settings the process's settings
     * @param self the process with its incarnation and address
     * @param seed seed of its random decisions
     */
    static NodeDriver<TargetEvent, TargetEffect> target(
            TargetSettings settings, Member self, long seed) {
        TargetNode node =
                new TargetNode(
                        new TargetNodeOptions(
                                self,
                                settings.engine(),
                                settings.checksTokens(),
                                settings.hostExclusive(),
                                settings.common().fleetSize(),
                                settings.weightStore(),
                                settings.maxQueue(),
                                settings.concurrency(),
                                settings.longestOrderNanos(),
                                settings.common().stopTimeoutNanos(),
                                seed));
        return new NodeDriver<>(node::handle, node::dump, node::ready, node::settings);
    }
}
