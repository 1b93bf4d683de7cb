/**
 * The decision module: which server gets a request, whether it is tried again, what is turned away; its events,
 * actions, state and settings. No I/O, no clock of its own, no dependency.
 */
package cinderhollow.policy;
