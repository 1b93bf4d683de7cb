/** The operators' socket: takes one command line per connection, asks the gateway and replies; keeps no gateway state. */
package cinderhollow.ops;
