package ebonygw.process;

import java.net.InetSocketAddress;

/**
 * Settings of a target process.
 *
 * @param common what entry processes have too
 * @param target address of the model engine or plain service
 * @param serves base model or plain service behind it
 * @param engine whether the target is a model engine
 * @param checksTokens whether the engine refuses orders with an old fencing token
 * @param hostExclusive whether only this host can reach the target
 * @param weightStore weight store that the engine loads from, empty if its loads are not divided
 * @param maxQueue most requests that wait in the process
 * @param concurrency requests that the target runs well together, until it reports more
 * @param longestOrderNanos longest time of an order to load or unload
 */
public record TargetSettings(
        CommonSettings common,
        InetSocketAddress target,
        String serves,
        boolean engine,
        boolean checksTokens,
        boolean hostExclusive,
        String weightStore,
        int maxQueue,
        int concurrency,
        long longestOrderNanos) {}
