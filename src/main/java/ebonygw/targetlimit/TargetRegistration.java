package ebonygw.targetlimit;

import ebonygw.protocol.Locality;

/**
 * What a registration of a target states that its limits depend on.
 *
 * @param id instance id
 * @param incarnation name of this start of the instance
 * @param address IP address and port
 * @param service name of its service
 * @param locality where it runs
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch
 * @param remaining time for which it will stay cold
 */
public record TargetRegistration(
        String id,
        String incarnation,
        String address,
        String service,
        Locality locality,
        long startedAtMillis,
        ColdRemaining remaining) {}
