/** Exchange of the prompt tokens that wait for prefill at a target, over all entries. */
package ebonygw.backlog;
