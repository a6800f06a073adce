/**
 * The two node state machines, {@code EntryNode} and {@code TargetNode}, with their events and
 * effects.
 */
package ebonygw;
