/** Request queueing, adapter residency and adapter loads at the target process. */
package ebonygw.scheduling;
