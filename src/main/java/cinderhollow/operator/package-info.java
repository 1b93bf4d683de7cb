/** Reads the operator's file, checks it against the deployment's settings and the rules, and explains the resulting policies. */
package cinderhollow.operator;
