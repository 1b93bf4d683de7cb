/** The snapshot that a gateway hands over to its successor, with version and checksum. Does no I/O and reads no clock. */
package cinderhollow.handover;
