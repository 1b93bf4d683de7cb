/**
 * Finds the route of a request and holds what the route allows the decision module to do: timeouts, attempts, budgets, hedges.
 * The classes do no I/O and read no clock: results depend only on state, event and the time that is passed in.
 */
package cinderhollow.routes;
