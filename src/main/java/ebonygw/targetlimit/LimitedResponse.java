package ebonygw.targetlimit;

/**
 * What a response tells about the limit of its target.
 *
 * @param incarnation incarnation that the request was sent to
 * @param request id of the request
 * @param limit what the response states
 * @param sentNanos when the request was sent
 * @param sentVersion version of the limit that was known then, see {@link NamedLimits#version}
 * @param conclusive whether the absence of a limit ends a former one
 */
public record LimitedResponse(
        String incarnation,
        String request,
        NamedLimit limit,
        long sentNanos,
        long sentVersion,
        boolean conclusive) {}
