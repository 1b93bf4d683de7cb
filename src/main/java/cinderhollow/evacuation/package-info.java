/**
 * Leaving a zone that fails as a fleet, and returning to it: what each gateway saw of each zone, what all of them saw
 * together, and the decisions that follow, one for each pair of a zone and a place from which it is seen. No I/O, no clock.
 * See {@code docs/design/zones.md}.
 */
package cinderhollow.evacuation;
