/**
 * Membership and gossip among gateways: members, suspicions and small versioned facts, over datagrams of at most 256 bytes.
 * Does no I/O and reads no clock: received datagrams are passed in with their time, and datagrams to send are passed to a
 * callback. The protocol is SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's three additions (Dadgar, Phillips, Currey,
 * 2018); see {@code docs/design/zones.md}.
 */
package cinderhollow.peers;
