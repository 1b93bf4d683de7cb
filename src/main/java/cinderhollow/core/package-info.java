/** What all socket code shares and no protocol owns: the clock, the kinds of sockets, JSON values. */
package cinderhollow.core;
