package cinderhollow.handover;

import cinderhollow.core.Json;
import cinderhollow.policy.LearnedState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * State that a gateway hands over to its successor. Encoded as a header line, with a magic word, the version, the length of the
 * body in bytes and its CRC-32 in hexadecimal, and a body in JSON.
 *
 * @param learnedState what the decision module has learned
 * @param listIndex discovery's index of the endpoint list
 * @param endpoints the endpoint list, as received from discovery
 * @param standby whether the gateway is in standby
 */
public record Snapshot(LearnedState learnedState, long listIndex, List<EndpointEntry> endpoints, boolean standby) {
    /** Maximum length of the body; a longer one is rejected, so that a peer that is no gateway cannot exhaust memory. */
    public static final int MOST_BYTES = 1 << 20;
    /** Maximum length of the header line in bytes. */
    public static final int MAX_HEADER_BYTES = 64;
    static final int VERSION = 1;
    private static final String WORD = "kestrelpier-handover";

    /** An entry of the endpoint list, with the fields of discovery. */
    public record EndpointEntry(String name, String address, String zone, String type, int group, boolean draining, double weight,
                       long sinceMillis) { }

    /** Copies the endpoint list. */
    public Snapshot {
        endpoints = List.copyOf(endpoints);
    }

    /**
     * Returns the header line and the body as bytes.
     *
     * @throws IllegalArgumentException if the body is longer than {@link #MOST_BYTES}
     */
    public byte[] encode() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("standby", standby);
        fields.put("index", listIndex);
        fields.put("hosts", endpoints.stream().map(Snapshot::fields).toList());
        fields.put("pressure", learnedState.pressure());
        fields.put("lateness", learnedState.latencyToBudgetRatio());
        fields.put("warm_rate", learnedState.requestRatePerServer());
        fields.put("servers", learnedState.servers().stream().map(s -> Map.of("id", s.id(), "started", s.startedAtNanos(),
                "share", s.share(), "limit", s.inFlightLimit(), "recent", s.recentRelativeLatency(), "failures", s.failureRate(),
                "silent", s.silent())).toList());
        fields.put("classes", learnedState.classes().stream().map(c -> Map.of("name", c.name(), "latency", c.meanLatencyNanos(),
                "calmest", c.minMeanLatencyNanos(), "served", c.servedCount())).toList());
        byte[] body = Json.text(fields).getBytes(StandardCharsets.UTF_8);
        if (body.length > MOST_BYTES) {
            throw new IllegalArgumentException("snapshot too large: " + body.length + " bytes, limit " + MOST_BYTES + " bytes");
        }
        byte[] head = String.format(Locale.ROOT, "%s %d %d %08x%n", WORD, VERSION, body.length, crc(body))
                .getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    private static Map<String, Object> fields(EndpointEntry host) {
        return Map.of("name", host.name(), "address", host.address(), "zone", host.zone(), "type", host.type(), "group",
                host.group(), "draining", host.draining(), "weight", host.weight(), "since_ms", host.sinceMillis());
    }

    private static long crc(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return crc.getValue();
    }

    /**
     * Returns the length of the body in bytes, as stated by the header line.
     *
     * @throws IllegalArgumentException if the line is not the header of a snapshot, or of one that this program cannot read
     */
    public static int bodyLength(String line) {
        String[] words = line.strip().split(" ");
        if (words.length != 4 || !words[0].equals(WORD)) {
            throw new IllegalArgumentException("not a snapshot: unknown header line");
        }
        if (!words[1].equals(String.valueOf(VERSION))) {
            throw new IllegalArgumentException("unsupported snapshot version " + words[1] + ", expected " + VERSION);
        }
        int length = words[2].matches("[0-9]{1,7}") ? Integer.parseInt(words[2]) : Integer.MAX_VALUE;
        if (length > MOST_BYTES) {
            throw new IllegalArgumentException("invalid snapshot length " + words[2]);
        }
        return length;
    }

    /**
     * Returns the snapshot with this header line and body.
     *
     * @throws IllegalArgumentException if the snapshot is truncated or corrupt, or lacks a field
     */
    public static Snapshot decode(String line, byte[] body) {
        if (body.length != bodyLength(line)) {
            throw new IllegalArgumentException("wrong snapshot length: got " + body.length + " bytes of " + bodyLength(line));
        }
        if (!line.strip().endsWith(String.format(Locale.ROOT, " %08x", crc(body)))) {
            throw new IllegalArgumentException("snapshot checksum does not match");
        }
        Json json = Json.parse(new String(body, StandardCharsets.UTF_8));
        List<LearnedState.ServerEntry> servers = new ArrayList<>();
        for (Json s : json.required("servers").entries()) {
            servers.add(new LearnedState.ServerEntry(s.required("id").text(), whole(s, "started"), number(s, "share"),
                    number(s, "limit"), number(s, "recent"), number(s, "failures"), s.required("silent").isTrue()));
        }
        List<LearnedState.ClassEntry> classes = new ArrayList<>();
        for (Json c : json.required("classes").entries()) {
            classes.add(new LearnedState.ClassEntry(c.required("name").text(), number(c, "latency"), number(c, "calmest"),
                    whole(c, "served")));
        }
        List<EndpointEntry> hosts = new ArrayList<>();
        for (Json h : json.required("hosts").entries()) {
            hosts.add(new EndpointEntry(h.required("name").text(), h.required("address").text(), h.required("zone").text(),
                    h.required("type").text(), (int) whole(h, "group"), h.required("draining").isTrue(), number(h, "weight"),
                    whole(h, "since_ms")));
        }
        return new Snapshot(new LearnedState(number(json, "pressure"), number(json, "lateness"), number(json, "warm_rate"), servers,
                classes), whole(json, "index"), hosts, json.required("standby").isTrue());
    }

    /** Returns a number field. Where it is no number, as JSON cannot express NaN, returns NaN, which no later check accepts. */
    private static double number(Json json, String name) {
        return json.required(name).number(Double.NaN).doubleValue();
    }

    private static long whole(Json json, String name) {
        return json.required(name).number(-1).longValue();
    }
}
