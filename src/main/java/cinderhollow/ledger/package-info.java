/**
 * Double-entry accounting of requests and attempts: they are counted independently at several places, and the counts are
 * compared. The classes do no I/O, read no clock, and are used by one thread only.
 */
package cinderhollow.ledger;
