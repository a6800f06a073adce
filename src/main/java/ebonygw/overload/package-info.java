/** Queueing and load shedding at an entry: order of held requests, predicted waits and bounds. */
package ebonygw.overload;
