/**
 * Emulates whole fleets in virtual time around the real decision module: many gateways in front of many nodes. It models what
 * becomes expensive when each gateway has little traffic: connections, queues of which each gateway sees only a part, and late
 * answers. It uses no sockets and no real clock; the same scenario and seed always give the same run.
 * See {@code docs/design/emulator.md}.
 */
package cinderhollow.emulator;
