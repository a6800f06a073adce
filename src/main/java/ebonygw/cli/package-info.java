/** Command line: one binary with a subcommand for each process role and each tool. */
package ebonygw.cli;
