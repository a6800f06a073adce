/**
 * Values that describe one request: identifiers, work, verdicts, refusals and the messages of its
 * life.
 */
package ebonygw.request;
