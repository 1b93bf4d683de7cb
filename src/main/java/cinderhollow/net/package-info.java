/**
 * The real gateway: sockets around the decision module. Nothing here decides where a request goes, or
 * whether it is tried again, refused or failed; it turns what happens on sockets into the module's events
 * and the module's actions into bytes. One event loop thread runs all of it.
 */
package cinderhollow.net;
