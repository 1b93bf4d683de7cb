/**
 * Whole fleets in made-up time round the real decision module: many gateways over many nodes, with what thin traffic
 * makes dear (connections, queues that nobody sees whole, answers that come late). No sockets and no clock; one seed
 * gives one run. See {@code docs/design/emulator.md}.
 */
package cinderhollow.emulator;
