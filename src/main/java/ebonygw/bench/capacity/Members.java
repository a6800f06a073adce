package ebonygw.bench.capacity;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.List;

/** Creates members of a fleet of five regions, of which a fifth are entry processes. */
final class Members {
    private static final int REGIONS = 5;
    private static final int PROCESSES_PER_ENTRY = 5;

    private Members() {}

    /** Returns the process with a number, from 0. */
    static Member member(int number, long incarnation, MemberState state) {
        boolean entry = number % PROCESSES_PER_ENTRY == 0;
        String region = "region-" + number % REGIONS;
        return new Member(
                new NodeId((entry ? "entry-" : "target-") + number),
                incarnation,
                entry ? Role.ENTRY : Role.TARGET,
                state,
                new Locality(region, region + "-a"),
                "10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":7400",
                entry ? "" : "model");
    }

    /** Returns live processes with the numbers from 0 to below {@code count}. */
    static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(i, 1, MemberState.LIVE));
        }
        return members;
    }
}
