/**
 * The process round one gateway: what it is told, its start with a rehearsal, its signals and its end, and
 * {@link cinderhollow.daemon.Gateway}, which hosts the decision module between the sockets of
 * {@link cinderhollow.http1} and {@link cinderhollow.membership}. One event loop thread runs all of it.
 */
package cinderhollow.daemon;
