package ebonygw.process;

import java.net.InetSocketAddress;

/**
 * Settings of a target process.
 *
 * @param common settings shared with entry processes
 * @param target address of the model engine or plain service
 * @param serves name of the base model or plain service that the target serves
 * @param engine whether the target is a model engine
 * @param checksFencingTokens whether the engine rejects orders with an outdated fencing token
 * @param hostExclusive whether the target can be reached from this host only
 * @param weightStore weight store that the engine loads from, empty if its loads are not limited by
 *     a shared budget
 * @param maxQueue maximum number of requests queued in the process
 * @param concurrency initial limit of concurrent requests to the target
 * @param maxOrderNanos maximum duration of an order to load or unload an adapter
 */
public record TargetSettings(
        CommonSettings common,
        InetSocketAddress target,
        String serves,
        boolean engine,
        boolean checksFencingTokens,
        boolean hostExclusive,
        String weightStore,
        int maxQueue,
        int concurrency,
        long maxOrderNanos) {}
