/** Code that all networking packages share and that belongs to no protocol: the clock, kinds of sockets, timers, JSON values. */
package cinderhollow.core;
