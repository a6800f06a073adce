package ebonygw.gateway;

/**
 * Load that a target tells of itself.
 *
 * @param running requests that run
 * @param queued requests that wait
 * @param slots requests that it runs at once
 */
public record TargetLoad(int running, int queued, int slots) {}
