/** The operator's own file: read, checked against the deployment's settings and the rules, and explained. */
package cinderhollow.operator;
