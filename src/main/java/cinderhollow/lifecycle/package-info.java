/**
 * State machines of requests and attempts: their states, the allowed transitions, and whether an attempt may be sent now. All
 * code that sends, retries, answers or abandons a request goes through them. The package does no input or output and reads no
 * clock. A transition that the tables do not allow is counted and logged; it also throws an exception if the system property
 * {@code cinderhollow.strict} is set.
 */
package cinderhollow.lifecycle;
