/**
 * The state machines of the two kinds of process, {@code EntryNode} and {@code TargetNode}, with
 * their events (inputs) and effects (outputs).
 */
package ebonygw;
