package ebonygw.peer;

import ebonygw.protocol.NodeId;

/**
 * Decides which links to a process are taken, so that a pair of processes has one.
 *
 * <p>Of each pair the process with the smaller name decides and the other follows. The one that
 * decides keeps the link that is up and takes another only in its absence, or from a greater
 * incarnation. The one that follows waits for the decision on each link, and takes what the other
 * has taken in place of its own: its link must have been lost on the other end.
 */
final class LinkRule {
    private LinkRule() {}

    /** Returns whether this process decides on the links of a pair. */
    static boolean decides(NodeId self, NodeId peer) {
        return self.compareTo(peer) < 0;
    }

    /**
     * Returns whether a link takes the place of the one that is up.
     *
     * @param decides whether this process decides
     * @param upIncarnation incarnation of the other process on the link that is up
     * @param newIncarnation its incarnation on the other link
     */
    static boolean replaces(boolean decides, long upIncarnation, long newIncarnation) {
        return newIncarnation > upIncarnation || (newIncarnation == upIncarnation && !decides);
    }
}
