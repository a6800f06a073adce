/** Reads and edits the top-level fields of JSON objects without changing the bytes of the rest. */
package ebonygw.json;
