package cinderhollow.lab;

import java.util.List;

/**
 * A broken rule, with the life of the request that shows it.
 *
 * @param request the request's id, or the name of the node or gateway that it is about
 * @param life what was seen of it, in order, one line each
 */
public record Breach(Rule rule, String request, String what, List<String> life) {
    /** The four rules, parted by what is seen when one is broken. */
    public enum Rule {
        /** No request is lost: no whole answer, or none in time, though the gateway had taken it. */
        LOST,
        /** One final answer: a second one came. */
        ANSWERED_TWICE,
        /** Served with what no node made for this request. */
        FOREIGN_ANSWER,
        /** After the final answer nothing more is sent. */
        SENT_AFTER_ANSWER,
        /** Nothing more is sent for a client that has closed its connection, however late the gateway comes to read that. */
        SENT_AFTER_LEAVING,
        /** A node got what no client sent in this form. */
        UNKNOWN_REQUEST,
        /** No effect twice: sent again although it may have run. */
        RAN_TWICE,
        /** A keyed request that may have run was resent outside its group, or past its window. */
        OUTSIDE_GROUP,
        /** Refused, which says that another try is harmless, although it may have run. */
        REFUSED_THOUGH_RAN,
        /** Drains are kept: sent to a node that was known to drain, or to be gone, for longer than the grace. */
        SENT_AFTER_DRAIN,
        /** A cold node was pushed over by gateways that knew of its start. */
        PUSHED_OVER,
        /** A gateway's process ended by itself. */
        GATEWAY_ENDED
    }

    /** Keeps a copy. */
    public Breach {
        life = List.copyOf(life);
    }

    /** The breach and the life below it. */
    @Override
    public String toString() {
        return rule + " " + request + ": " + what + (life.isEmpty() ? "" : "\n    " + String.join("\n    ", life));
    }
}
