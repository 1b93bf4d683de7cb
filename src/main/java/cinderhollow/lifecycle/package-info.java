/**
 * What may happen to a request and to its attempts now: their states, the transitions between them, and whether an attempt may be
 * sent. Every path that sends, repeats, answers or abandons asks here. No input or output, no clock; a transition that the tables
 * forbid is counted and logged, and is an error where the system property {@code cinderhollow.strict} is set.
 */
package cinderhollow.lifecycle;
