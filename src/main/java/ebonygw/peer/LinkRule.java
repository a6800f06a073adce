package ebonygw.peer;

import ebonygw.protocol.NodeId;

/**
 * Decides which of two links to the same process stays, alike on both ends.
 *
 * <p>The greater incarnation of the other process wins. Within one incarnation the link opened by
 * the end with the smaller name wins; of two opened by the same end the newer one, since an end
 * opens a second link only after it lost the first.
 */
final class LinkRule {
    private LinkRule() {}

    /** A link as the rule sees it: the other process's incarnation and whether we opened it. */
    record End(long incarnation, boolean openedHere) {}

    /**
     * Returns whether a new link replaces an established one.
     *
     * @param self this process
     * @param peer the other process
     * @param established the link that is up
     * @param candidate the new link, whose hello has just come
     */
    static boolean replaces(NodeId self, NodeId peer, End established, End candidate) {
        if (candidate.incarnation() != established.incarnation()) {
            return candidate.incarnation() > established.incarnation();
        }
        if (candidate.openedHere() == established.openedHere()) {
            return true;
        }
        boolean smallerHere = self.compareTo(peer) < 0;
        return candidate.openedHere() == smallerHere;
    }
}
