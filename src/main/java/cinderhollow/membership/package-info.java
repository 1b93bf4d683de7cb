/**
 * The list of servers: the watch that receives it from discovery, its format, its changes, and the subset that this gateway uses.
 */
package cinderhollow.membership;
