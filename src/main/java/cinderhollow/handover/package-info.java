/** What a gateway passes to its successor: a snapshot, versioned and checked. No I/O, no clock. */
package cinderhollow.handover;
