/**
 * Which route a request takes, and what its route lets the module do: time-outs, attempts, budgets, second copies.
 * No I/O and no clock: plain values, and functions of state, event and time.
 */
package cinderhollow.routes;
