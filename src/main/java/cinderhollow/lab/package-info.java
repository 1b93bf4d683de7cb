/**
 * A whole fleet on loopback: stand-in nodes, a stand-in discovery, clients, faults under one seed, and an auditor
 * of the four rules. It meets gateways through their sockets alone, real processes and scripted ones alike.
 *
 * <p>What decides ({@link cinderhollow.lab.NodeModel}, {@link cinderhollow.lab.Auditor},
 * {@link cinderhollow.lab.Plan}, {@link cinderhollow.lab.Arrivals}) does no I/O and is told the time; the sockets
 * stand beside it.
 */
package cinderhollow.lab;
