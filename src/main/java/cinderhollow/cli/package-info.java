/** The command line: commands, their options and their help. */
package cinderhollow.cli;
