package cinderhollow.http1;

/**
 * What the connections of one event loop's clients have pending at one instant. Each connection is counted once, in the first of
 * these groups that it belongs to.
 *
 * @param streaming connections whose response is being streamed from a server
 * @param unanswered connections with a request whose response has not begun
 * @param unflushed connections with responses that their sockets have not accepted whole
 * @param closing connections whose last response has been written, and that are about to be closed
 * @param idle all other connections
 */
public record PendingResponses(int streaming, int unanswered, int unflushed, int closing, int idle) {
    /** Returns the number of connections. */
    public int connections() {
        return streaming + unanswered + unflushed + closing + idle;
    }

    @Override
    public String toString() {
        return connections() + " connections of clients: " + streaming + " with an answer under way, " + unanswered
                + " with a request whose answer has not begun, " + unflushed + " with answers not accepted by the socket, " + closing
                + " being closed, " + idle + " idle";
    }
}
