package ebonygw.membership;

import java.util.List;

/**
 * The platform's list of hosts, which lags.
 *
 * @param hosts the hosts in no particular order
 */
public record HostList(List<Host> hosts) {
    /** Creates a list. */
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * One host and the process on it.
     *
     * @param process the process, as a member in state {@link MemberState#LIVE} or {@link
     *     MemberState#LEAVING}; its incarnation is 0 if the list does not know it
     */
    public record Host(Member process) {}
}
