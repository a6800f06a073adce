package ebonygw.targetlimit;

/**
 * Division of a limit on the requests to a target into equal shares.
 *
 * @param shares number of shares, at least 1
 * @param perSecond tokens per second of each share
 * @param burst maximum number of tokens of each share, at least 1
 */
record ShareLimit(int shares, double perSecond, double burst) {
    /** Maximum number of tokens of a share: the least with which a request can be sent. */
    static final double MIN_BURST = 1;

    /**
     * Maximum number of shares of a cold target. With the rate of 7.1 per second of the users'
     * example four shares add up to 8.3 requests per second, and more entries to less.
     */
    private static final int MAX_COLD_SHARES = 4;

    /** Minimum share of a cold target in requests per second; a smaller one is seldom of use. */
    private static final double MIN_COLD_SHARE = 2;

    /** Seconds for which a limit that a target names counts, by the system requirements. */
    private static final double NAMED_WINDOW_SECONDS = 4;

    /** Part of the named limit by which it may be exceeded, by the system requirements. */
    private static final double NAMED_OVERAGE = 0.5;

    /** Requests by which a named limit may be exceeded besides, by the system requirements. */
    private static final double NAMED_TOLERANCE = 5;

    /** Part of what a named limit may be exceeded by that is used; the rest is for faults. */
    private static final double USED_SLACK = 0.5;

    /** Difference in transit of requests from different regions, in seconds. */
    private static final double TRANSIT_SECONDS = 0.1;

    /**
     * Divides the limit of a cold target.
     *
     * @param limit maximum number of requests in any second
     * @param entries number of entries
     */
    static ShareLimit ofCold(double limit, int entries) {
        int useful = (int) (limit / MIN_COLD_SHARE);
        int shares = Math.max(1, Math.min(MAX_COLD_SHARES, Math.min(useful, entries)));
        double perSecond = (limit / shares - MIN_BURST) / LimitedTarget.WINDOW_SECONDS;
        return new ShareLimit(shares, Math.max(0, perSecond), MIN_BURST);
    }

    /**
     * Divides a limit that a target names. All rates add up to the limit. The bursts add up to the
     * slack that may be used, less the tokens that are added while requests are delayed between the
     * withdrawal of their token and their arrival.
     *
     * @param perSecond the limit in requests per second, at least {@link NamedLimit#MIN_PER_SECOND}
     * @param entries number of entries
     */
    static ShareLimit ofNamed(double perSecond, int entries) {
        double slack = NAMED_OVERAGE * perSecond * NAMED_WINDOW_SECONDS + NAMED_TOLERANCE;
        double delaySeconds = LimitedTarget.MAX_DELAY_NANOS / 1e9 + TRANSIT_SECONDS;
        double bursts = USED_SLACK * slack - delaySeconds * perSecond;
        int shares = (int) Math.max(1, Math.min(bursts / MIN_BURST, entries));
        return new ShareLimit(shares, perSecond / shares, bursts / shares);
    }

    /**
     * Returns the least of two divisions of the limit of one target, either of which may be null.
     */
    static ShareLimit least(ShareLimit one, ShareLimit other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return new ShareLimit(
                Math.min(one.shares, other.shares),
                Math.min(one.perSecond, other.perSecond),
                Math.min(one.burst, other.burst));
    }
}
