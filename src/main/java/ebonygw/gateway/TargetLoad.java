package ebonygw.gateway;

/**
 * Load that a target reports.
 *
 * @param running number of running requests
 * @param queued number of waiting requests
 * @param slots maximum number of requests that it runs concurrently
 */
public record TargetLoad(int running, int queued, int slots) {}
