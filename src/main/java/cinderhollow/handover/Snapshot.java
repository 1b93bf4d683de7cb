package cinderhollow.handover;

import cinderhollow.core.Json;
import cinderhollow.policy.Memory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * All that a gateway tells its successor, and its form: a line with a word, a version, the length of what follows and its
 * CRC-32, and then JSON of that length.
 *
 * @param memory what the decision module has learnt
 * @param index the version of the list
 * @param hosts the list, as discovery tells it
 * @param standby the gateway is being kept empty
 */
public record Snapshot(Memory memory, long index, List<Host> hosts, boolean standby) {
    /** A longer one is not read: guards against a far side that is no gateway. */
    public static final int MOST_BYTES = 1 << 20;
    /** The most that the first line takes. */
    public static final int LONGEST_LINE = 64;
    static final int VERSION = 1;
    private static final String WORD = "kestrelpier-handover";

    /** A host of the list, by discovery's names. */
    public record Host(String name, String address, String zone, String type, int group, boolean draining, double weight,
                       long sinceMillis) { }

    /** Keeps a copy. */
    public Snapshot {
        hosts = List.copyOf(hosts);
    }

    /** Its bytes; one that is over the bound has none: an {@link IllegalArgumentException} says so. */
    public byte[] encode() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("standby", standby);
        fields.put("index", index);
        fields.put("hosts", hosts.stream().map(Snapshot::fields).toList());
        fields.put("pressure", memory.pressure());
        fields.put("lateness", memory.lateness());
        fields.put("warm_rate", memory.warmRate());
        fields.put("servers", memory.servers().stream().map(s -> Map.of("id", s.id(), "started", s.startedAtNanos(),
                "share", s.share(), "limit", s.limit(), "recent", s.recent(), "failures", s.failures(),
                "silent", s.silent())).toList());
        fields.put("classes", memory.classes().stream().map(c -> Map.of("name", c.name(), "latency", c.latencyNanos(),
                "calmest", c.calmestNanos(), "served", c.served())).toList());
        byte[] body = Json.text(fields).getBytes(StandardCharsets.UTF_8);
        if (body.length > MOST_BYTES) {
            throw new IllegalArgumentException("of " + body.length + " bytes, and " + MOST_BYTES + " are the most");
        }
        byte[] head = String.format(Locale.ROOT, "%s %d %d %08x%n", WORD, VERSION, body.length, crc(body))
                .getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    private static Map<String, Object> fields(Host host) {
        return Map.of("name", host.name(), "address", host.address(), "zone", host.zone(), "type", host.type(), "group",
                host.group(), "draining", host.draining(), "weight", host.weight(), "since_ms", host.sinceMillis());
    }

    private static long crc(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return crc.getValue();
    }

    /**
     * How many bytes follow the first line, by that line; an {@link IllegalArgumentException} where it is of no snapshot
     * that this program reads.
     */
    public static int length(String line) {
        String[] words = line.strip().split(" ");
        if (words.length != 4 || !words[0].equals(WORD)) {
            throw new IllegalArgumentException("it is none of this program's");
        }
        if (!words[1].equals(String.valueOf(VERSION))) {
            throw new IllegalArgumentException("its version is " + words[1] + ", and " + VERSION + " is read");
        }
        int length = words[2].matches("[0-9]{1,7}") ? Integer.parseInt(words[2]) : Integer.MAX_VALUE;
        if (length > MOST_BYTES) {
            throw new IllegalArgumentException("its length can't be " + words[2]);
        }
        return length;
    }

    /** Reads what follows the first line; what is torn, spoilt or short of a field is an {@link IllegalArgumentException}. */
    public static Snapshot decode(String line, byte[] body) {
        if (body.length != length(line)) {
            throw new IllegalArgumentException("it has " + body.length + " bytes of " + length(line));
        }
        if (!line.strip().endsWith(String.format(Locale.ROOT, " %08x", crc(body)))) {
            throw new IllegalArgumentException("its checksum is another");
        }
        Json json = Json.parse(new String(body, StandardCharsets.UTF_8));
        List<Memory.OfServer> servers = new ArrayList<>();
        for (Json s : json.required("servers").entries()) {
            servers.add(new Memory.OfServer(s.required("id").text(), whole(s, "started"), number(s, "share"),
                    number(s, "limit"), number(s, "recent"), number(s, "failures"), s.required("silent").isTrue()));
        }
        List<Memory.OfClass> classes = new ArrayList<>();
        for (Json c : json.required("classes").entries()) {
            classes.add(new Memory.OfClass(c.required("name").text(), number(c, "latency"), number(c, "calmest"),
                    whole(c, "served")));
        }
        List<Host> hosts = new ArrayList<>();
        for (Json h : json.required("hosts").entries()) {
            hosts.add(new Host(h.required("name").text(), h.required("address").text(), h.required("zone").text(),
                    h.required("type").text(), (int) whole(h, "group"), h.required("draining").isTrue(), number(h, "weight"),
                    whole(h, "since_ms")));
        }
        return new Snapshot(new Memory(number(json, "pressure"), number(json, "lateness"), number(json, "warm_rate"), servers,
                classes), whole(json, "index"), hosts, json.required("standby").isTrue());
    }

    /** What is no number, as JSON has none for it, comes out as one that no check lets pass. */
    private static double number(Json json, String name) {
        return json.required(name).number(Double.NaN).doubleValue();
    }

    private static long whole(Json json, String name) {
        return json.required(name).number(-1).longValue();
    }
}
