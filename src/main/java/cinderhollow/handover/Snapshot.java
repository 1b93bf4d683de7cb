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
    public static final int MAX_BODY_BYTES = 1 << 20;
    /** Maximum length of the header line in bytes. */
    public static final int MAX_HEADER_BYTES = 64;
    static final int VERSION = 1;
    private static final String MAGIC = "kestrelpier-handover";

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
     * @throws IllegalArgumentException if the body is longer than {@link #MAX_BODY_BYTES}
     */
    public byte[] encode() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("standby", standby);
        fields.put("index", listIndex);
        fields.put("hosts", endpoints.stream().map(Snapshot::toJsonFields).toList());
        fields.put("pressure", learnedState.pressure());
        fields.put("lateness", learnedState.latencyToBudgetRatio());
        fields.put("warm_rate", learnedState.requestRatePerServer());
        fields.put("servers", learnedState.servers().stream().map(s -> Map.of("id", s.id(), "started", s.startedAtNanos(),
                "share", s.share(), "limit", s.inFlightLimit(), "recent", s.recentRelativeLatency(), "failures", s.failureRate(),
                "silent", s.silent())).toList());
        fields.put("classes", learnedState.classes().stream().map(c -> Map.of("name", c.name(), "latency", c.meanLatencyNanos(),
                "calmest", c.minMeanLatencyNanos(), "served", c.servedCount())).toList());
        byte[] body = Json.text(fields).getBytes(StandardCharsets.UTF_8);
        if (body.length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException("snapshot too large: " + body.length + " bytes, limit " + MAX_BODY_BYTES
                    + " bytes");
        }
        byte[] header = String.format(Locale.ROOT, "%s %d %d %08x%n", MAGIC, VERSION, body.length, computeCrc(body))
                .getBytes(StandardCharsets.US_ASCII);
        byte[] encoded = new byte[header.length + body.length];
        System.arraycopy(header, 0, encoded, 0, header.length);
        System.arraycopy(body, 0, encoded, header.length, body.length);
        return encoded;
    }

    private static Map<String, Object> toJsonFields(EndpointEntry endpoint) {
        return Map.of("name", endpoint.name(), "address", endpoint.address(), "zone", endpoint.zone(), "type", endpoint.type(),
                "group",
                endpoint.group(), "draining", endpoint.draining(), "weight", endpoint.weight(), "since_ms",
                endpoint.sinceMillis());
    }

    private static long computeCrc(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return crc.getValue();
    }

    /**
     * Returns the length of the body in bytes, as stated by the header line.
     *
     * @throws IllegalArgumentException if the line is not the header of a snapshot, or of one that this program cannot read
     */
    public static int bodyLength(String header) {
        String[] words = header.strip().split(" ");
        if (words.length != 4 || !words[0].equals(MAGIC)) {
            throw new IllegalArgumentException("not a snapshot: unknown header line");
        }
        if (!words[1].equals(String.valueOf(VERSION))) {
            throw new IllegalArgumentException("unsupported snapshot version " + words[1] + ", expected " + VERSION);
        }
        int length = words[2].matches("[0-9]{1,7}") ? Integer.parseInt(words[2]) : Integer.MAX_VALUE;
        if (length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException("invalid snapshot length " + words[2]);
        }
        return length;
    }

    /**
     * Returns the snapshot with this header line and body.
     *
     * @throws IllegalArgumentException if the snapshot is truncated or corrupt, or lacks a field
     */
    public static Snapshot decode(String header, byte[] body) {
        if (body.length != bodyLength(header)) {
            throw new IllegalArgumentException("wrong snapshot length: got " + body.length + " bytes of " + bodyLength(header));
        }
        if (!header.strip().endsWith(String.format(Locale.ROOT, " %08x", computeCrc(body)))) {
            throw new IllegalArgumentException("snapshot checksum does not match");
        }
        Json json = Json.parse(new String(body, StandardCharsets.UTF_8));
        List<LearnedState.ServerEntry> servers = new ArrayList<>();
        for (Json s : json.required("servers").entries()) {
            servers.add(new LearnedState.ServerEntry(s.required("id").text(), readLong(s, "started"), readDouble(s, "share"),
                    readDouble(s, "limit"), readDouble(s, "recent"), readDouble(s, "failures"), s.required("silent").isTrue()));
        }
        List<LearnedState.ClassEntry> classes = new ArrayList<>();
        for (Json c : json.required("classes").entries()) {
            classes.add(new LearnedState.ClassEntry(c.required("name").text(), readDouble(c, "latency"), readDouble(c, "calmest"),
                    readLong(c, "served")));
        }
        List<EndpointEntry> endpoints = new ArrayList<>();
        for (Json h : json.required("hosts").entries()) {
            endpoints.add(new EndpointEntry(h.required("name").text(), h.required("address").text(), h.required("zone").text(),
                    h.required("type").text(), (int) readLong(h, "group"), h.required("draining").isTrue(),
                    readDouble(h, "weight"),
                    readLong(h, "since_ms")));
        }
        return new Snapshot(new LearnedState(readDouble(json, "pressure"), readDouble(json, "lateness"),
                readDouble(json, "warm_rate"), servers,
                classes), readLong(json, "index"), endpoints, json.required("standby").isTrue());
    }

    /** Returns a number field. Where it is no number, as JSON cannot express NaN, returns NaN, which no later check accepts. */
    private static double readDouble(Json json, String name) {
        return json.required(name).number(Double.NaN).doubleValue();
    }

    private static long readLong(Json json, String name) {
        return json.required(name).number(-1).longValue();
    }
}
