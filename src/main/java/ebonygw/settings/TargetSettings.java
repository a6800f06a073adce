package ebonygw.settings;

/**
 * Effective settings of a target.
 *
 * @param target its name
 * @param serves base model or plain service that it serves
 * @param checksFencing whether it refuses orders with an old fencing token
 */
public record TargetSettings(String target, String serves, boolean checksFencing) {}
