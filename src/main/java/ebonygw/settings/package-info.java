/** The tree of settings, its change log, callers' keys and their distribution. */
package ebonygw.settings;
