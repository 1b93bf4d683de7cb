/**
 * The account of requests and attempts: counted at several places that don't know of each other, and compared. No I/O, no
 * clock, one owner thread.
 */
package cinderhollow.ledger;
