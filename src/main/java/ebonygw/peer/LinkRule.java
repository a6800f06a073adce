package ebonygw.peer;

import ebonygw.protocol.NodeId;

/**
 * Decides which links are kept, so that each pair of processes has exactly one link.
 *
 * <p>In each pair, the process with the smaller name decides and the other one follows. The
 * deciding process keeps the link that is up, and accepts another one only if no link is up or if
 * the other process has a greater incarnation. The following process treats a link as up only once
 * the deciding process has accepted it, and then replaces its current link: the deciding process
 * accepts a second link of the same incarnation only after losing the first.
 */
final class LinkRule {
    private LinkRule() {}

    /** Returns whether {@code self} decides which links to {@code peer} are kept. */
    static boolean decides(NodeId self, NodeId peer) {
        return self.compareTo(peer) < 0;
    }

    /**
     * Returns whether a new link replaces the one that is up.
     *
     * @param decides whether this process decides for the pair
     * @param upIncarnation incarnation of the other process on the link that is up
     * @param newIncarnation its incarnation on the new link
     */
    static boolean replaces(boolean decides, long upIncarnation, long newIncarnation) {
        return newIncarnation > upIncarnation || (newIncarnation == upIncarnation && !decides);
    }
}
