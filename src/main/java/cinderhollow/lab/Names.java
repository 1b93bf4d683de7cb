package cinderhollow.lab;

/** Names of the lab's nodes and gateways, and ids of its requests. A request's id contains the gateway that it was sent to. */
final class Names {
    private static final String NODE = "node-", GATEWAY = "gw-";

    private Names() { }

    /** Returns the name of a node, such as {@code node-2}. */
    static String node(int number) {
        return NODE + number;
    }

    /** Returns the name of a gateway, such as {@code gw-0}. */
    static String gateway(int number) {
        return GATEWAY + number;
    }

    /** Returns the key of counts by gateway and class. */
    static String gatewayAndClass(int gateway, String requestClass) {
        return gateway(gateway) + " " + requestClass;
    }

    /** Returns the id of a client's try: {@code 3.1742} is number 1742 of the run, counted from 0, and was sent to gateway 3. */
    static String request(int gateway, long sequence) {
        return gateway + "." + sequence;
    }

    /** Returns the number of the gateway that a try was sent to, or -1 if this is no id of the lab. */
    static int gatewayOf(String request) {
        return (int) part(request, 0);
    }

    /** Returns the number of the try, or -1 if this is no id of the lab. */
    static long sequenceOf(String request) {
        return part(request, 1);
    }

    /** Returns the number in the name of a node or, if not {@code isNode}, of a gateway; -1 if it is no such name. */
    static int number(String name, boolean node) {
        String prefix = node ? NODE : GATEWAY;
        return name.startsWith(prefix) ? (int) number(name.substring(prefix.length())) : -1;
    }

    private static long part(String request, int index) {
        int dot = request.indexOf('.');
        return dot < 0 ? -1 : number(index == 0 ? request.substring(0, dot) : request.substring(dot + 1));
    }

    private static long number(String text) {
        try {
            return text.isEmpty() || text.charAt(0) == '-' || text.charAt(0) == '+' ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
