/** The command line: the commands, their options and their help texts. */
package cinderhollow.cli;
