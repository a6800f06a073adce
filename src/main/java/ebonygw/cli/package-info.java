/** The command line: one binary with a subcommand for each role and tool. */
package ebonygw.cli;
