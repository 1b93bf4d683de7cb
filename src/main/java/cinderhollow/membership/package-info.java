/** Where the list of hosts comes from: discovery's watch, and the form of its lists. */
package cinderhollow.membership;
