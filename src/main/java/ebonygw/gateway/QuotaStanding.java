package ebonygw.gateway;

/**
 * What an entry reports of a customer besides the tokens charged.
 *
 * @param demand tokens per second requested at the entry, admitted or not
 * @param smallDemand part of it that was requested by small requests
 * @param level available tokens as the entry knows them, without its charges of the last moment
 */
public record QuotaStanding(long demand, long smallDemand, long level) {
    /** Standing of an entry that reports none. */
    public static final QuotaStanding NONE = new QuotaStanding(-1, 0, 0);

    /** Returns whether the entry reported a standing. */
    public boolean isReported() {
        return demand >= 0;
    }
}
