/** Model engines and plain services behind a target process. */
package ebonygw.target;
