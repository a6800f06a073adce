/**
 * Values that describe one request: identifiers, work, verdicts and refusals, and the messages
 * exchanged about its attempts.
 */
package ebonygw.request;
