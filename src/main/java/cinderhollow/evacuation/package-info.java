/**
 * Evacuation of failing zones by the whole fleet, and the return to them: the observations of each gateway, their assessment
 * over all gateways, and the decisions, one for each pair of a zone and a vantage (the zone from which it is observed). Does
 * no I/O and reads no clock. See {@code docs/design/zones.md}.
 */
package cinderhollow.evacuation;
