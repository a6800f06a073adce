package ebonygw.caller;

/**
 * What an entry adds to answers.
 *
 * @param addsRequestId whether answers carry the request's identifier in a field of our own
 * @param exactRetryTimes whether the time to come back is given with a fraction of a second
 */
public record AnswerStyle(boolean addsRequestId, boolean exactRetryTimes) {
    /** Answers of the product's own interface. */
    public static final AnswerStyle OWN = new AnswerStyle(true, false);

    /** Answers that are passed on as the target gave them. */
    public static final AnswerStyle FORWARDED = new AnswerStyle(false, true);
}
