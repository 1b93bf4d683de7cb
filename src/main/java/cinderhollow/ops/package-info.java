/** The operators' door: lines in, one answer each; asks the gateway and keeps no state of it. */
package cinderhollow.ops;
