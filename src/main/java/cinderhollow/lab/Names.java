package cinderhollow.lab;

/** What the lab calls its nodes, gateways and requests. A request's id tells the gateway that it was sent to. */
final class Names {
    private static final String NODE = "node-", GATEWAY = "gw-";

    private Names() { }

    static String node(int number) {
        return NODE + number;
    }

    static String gateway(int number) {
        return GATEWAY + number;
    }

    /** A gateway and a class, as counts are kept. */
    static String gatewayAndClass(int gateway, String requestClass) {
        return gateway(gateway) + " " + requestClass;
    }

    /** The id of a client's try: {@code 3.1742} is the 1742nd of the run and went to gateway 3. */
    static String request(int gateway, long sequence) {
        return gateway + "." + sequence;
    }

    /** The gateway that a try was sent to, or -1 where this is no id of the lab's. */
    static int gatewayOf(String request) {
        return (int) part(request, 0);
    }

    /** The number of the try, or -1 where this is no id of the lab's. */
    static long sequenceOf(String request) {
        return part(request, 1);
    }

    /** The number in such a name, or -1 where the name is another's. */
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
