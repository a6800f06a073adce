/** Queue order, adapter residency and loads at the target process. */
package ebonygw.scheduling;
