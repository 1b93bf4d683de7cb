package cinderhollow.lab;

/** Names of the lab's nodes and gateways, and ids of its requests. A request's id contains the gateway that it was sent to. */
final class LabNames {
    private static final String NODE_PREFIX = "node-", GATEWAY_PREFIX = "gw-";

    private LabNames() { }

    /** Returns the name of a node, such as {@code node-2}. */
    static String nodeName(int number) {
        return NODE_PREFIX + number;
    }

    /** Returns the name of a gateway, such as {@code gw-0}. */
    static String gatewayName(int number) {
        return GATEWAY_PREFIX + number;
    }

    /** Returns the key of counts by gateway and class. */
    static String gatewayClassKey(int gateway, String requestClass) {
        return gatewayName(gateway) + " " + requestClass;
    }

    /** Returns the id of a client's try: {@code 3.1742} is number 1742 of the run, counted from 0, and was sent to gateway 3. */
    static String requestId(int gateway, long sequence) {
        return gateway + "." + sequence;
    }

    /** Returns the number of the gateway that a try was sent to, or -1 if this is no id of the lab. */
    static int gatewayOf(String requestId) {
        return (int) parseIdPart(requestId, 0);
    }

    /** Returns the number of the try, or -1 if this is no id of the lab. */
    static long sequenceOf(String requestId) {
        return parseIdPart(requestId, 1);
    }

    /** Returns the number in the name of a node or, if not {@code isNode}, of a gateway; -1 if it is no such name. */
    static int numberOf(String name, boolean isNode) {
        String prefix = isNode ? NODE_PREFIX : GATEWAY_PREFIX;
        return name.startsWith(prefix) ? (int) parseNumber(name.substring(prefix.length())) : -1;
    }

    private static long parseIdPart(String requestId, int index) {
        int dot = requestId.indexOf('.');
        return dot < 0 ? -1 : parseNumber(index == 0 ? requestId.substring(0, dot) : requestId.substring(dot + 1));
    }

    private static long parseNumber(String text) {
        try {
            return text.isEmpty() || text.charAt(0) == '-' || text.charAt(0) == '+' ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
