package ebonygw.membership;

import java.util.List;

/**
 * The platform's list of hosts, which may be out of date.
 *
 * @param hosts the hosts, in no particular order
 */
public record HostList(List<Host> hosts) {
    /** Creates a list. */
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * A host and the process that runs on it.
     *
     * @param process the process, in state {@link MemberState#LIVE}, or {@link MemberState#LEAVING}
     *     if the host is leaving; its incarnation is 0 if the platform does not know it
     */
    public record Host(Member process) {}
}
