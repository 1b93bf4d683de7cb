/** Runs the decision module for the simulator, over its line protocol on standard input and output. */
package cinderhollow.sim;
