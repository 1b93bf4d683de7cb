/**
 * The decision module: chooses the server of each request and decides on retries and shedding. It contains its events, actions,
 * state and settings, does no I/O, reads no clock and has no dependencies.
 */
package cinderhollow.policy;
