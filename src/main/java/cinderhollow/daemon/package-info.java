/**
 * The gateway process: its configuration, start with a warm-up, signal handling and shutdown, and {@link
 * cinderhollow.daemon.Gateway}, which connects the decision module to the sockets of {@link cinderhollow.http1} and {@link
 * cinderhollow.membership}. Each gateway runs on one event loop thread.
 */
package cinderhollow.daemon;
