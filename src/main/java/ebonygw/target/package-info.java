/** HTTP clients of the targets behind a target process: model engines and plain services. */
package ebonygw.target;
