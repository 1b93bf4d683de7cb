package cinderhollow.daemon;

/**
 * How account is kept of requests and attempts.
 *
 * @param everyNanos how often the sums go to the log, 0 for never
 */
record Bookkeeping(long everyNanos) { }
