/**
 * Test lab: a whole fleet on the loopback interface, with stand-in nodes, a stand-in discovery, clients, faults drawn from one
 * seed, and an auditor that checks the gateway's four rules. It interacts with gateways, real processes and scripted ones alike,
 * through their sockets only, apart from signals to processes.
 *
 * <p>The classes that decide ({@link cinderhollow.lab.NodeModel}, {@link cinderhollow.lab.Auditor},
 * {@link cinderhollow.lab.FaultPlan}, {@link cinderhollow.lab.Arrivals}) do no I/O and get the time passed in. Other classes own
 * the sockets.
 */
package cinderhollow.lab;
