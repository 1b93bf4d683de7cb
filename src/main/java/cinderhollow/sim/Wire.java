package cinderhollow.sim;

import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.*;
import cinderhollow.policy.SettingsReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Implements the simulator's line protocol: turns input lines into events and actions into output lines, and keeps one
 * {@link LoadBalancer} per gateway. It makes no load-balancing decisions itself.
 */
public final class Wire {
    private static final HexFormat HEX = HexFormat.of();
    private static final int SLOT_COUNT = 16;

    /** Thrown for input that violates the line protocol; the message has the line number and the problem. */
    public static final class MalformedInput extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedInput(long line, String problem) {
            super("line " + line + ": " + problem);
        }
    }

    private final LineReader lineReader;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder(1 << 16);
    private final Map<Integer, Gateway> gateways = new HashMap<>();
    private final List<List<ServerInfo>> slots = new ArrayList<>();
    private final Fields fields = new Fields();

    /** Creates a wire that reads batches from {@code in} and writes the answers to {@code out}. */
    public Wire(InputStream in, OutputStream out) {
        this.lineReader = new LineReader(in);
        this.out = out;
        for (int i = 0; i < SLOT_COUNT; i++) {
            slots.add(null);
        }
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        while (readFields()) {
            if (fields.tag.isEmpty()) {
                continue;
            }
            expectTag("BATCH");
            answerBatch(fields.number("time_ns"), fields.number("turn"));
        }
    }

    private void answerBatch(long now, long turn) throws IOException {
        reply.setLength(0);
        while (true) {
            if (!readFields()) {
                throw new MalformedInput(lineReader.lineNumber, "the input ends within a batch");
            }
            if (fields.tag.equals("EOB")) {
                break;
            }
            handleMessage(now);
        }
        reply.append("NEXT\tturn=").append(turn).append('\n');
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private boolean readFields() throws IOException {
        String line = lineReader.readLine();
        if (line == null) {
            return false;
        }
        fields.parse(line, lineReader.lineNumber);
        return true;
    }

    private void expectTag(String tag) {
        if (!fields.tag.equals(tag)) {
            throw new MalformedInput(lineReader.lineNumber, "expected " + tag + ", found '" + fields.tag + "'");
        }
    }

    private void handleMessage(long now) throws IOException {
        switch (fields.tag) {
            case "POOL" -> readPool();
            case "BEGIN" -> beginGateway();
            case "RETIRE" -> {
                requireGateway();
                gateways.remove(fields.integer("gateway"));
            }
            case "FLEET", "ASK", "EXPIRED", "STREAMING", "PING_RESULT", "WHISPER", "DONE", "REMINDER" -> {
                Gateway gateway = requireGateway();
                gateway.handleEvent(now, readEvent(gateway));
            }
            default -> throw new MalformedInput(lineReader.lineNumber, "unknown message '" + fields.tag + "'");
        }
    }

    private Gateway requireGateway() {
        Gateway gateway = gateways.get(fields.integer("gateway"));
        if (gateway == null) {
            throw new MalformedInput(lineReader.lineNumber, fields.tag + " for unknown gateway " + fields.text("gateway"));
        }
        return gateway;
    }

    private void beginGateway() {
        int number = fields.integer("gateway");
        long seed = fields.number("prng");
        gateways.put(number, new Gateway(number, readSettings(), seed, readReportColumns(), reply));
    }

    private Settings readSettings() {
        try {
            return new SettingsReader(fields.toMap()).read();
        } catch (IllegalArgumentException e) {
            throw new MalformedInput(lineReader.lineNumber, e.getMessage());
        }
    }

    private ReportColumn[] readReportColumns() {
        String[] names = fields.text("report.columns", "").split(",");
        ReportColumn[] columns = new ReportColumn[names.length];
        for (int i = 0; i < names.length; i++) {
            columns[i] = ReportColumn.fromWireName(names[i]);
        }
        return columns;
    }

    private Event readEvent(Gateway gateway) {
        return switch (fields.tag) {
            case "FLEET" -> readListReceived();
            case "ASK" -> new RequestArrived(fields.text("rid"), fields.text("band"), readTenant(),
                    fields.optional("item"), fields.number("expires_in_ns"),
                    fields.number("weight_hint_ns", 0), fields.number("is_retry", 0) == 1);
            case "EXPIRED" -> new ClientLeft(fields.text("rid"));
            case "STREAMING" -> new StreamStarted(fields.text("rid"), fields.integer("send_no"),
                    fields.text("host"));
            case "PING_RESULT" -> new ProbeEnded(fields.text("host"), readOutcome(), fields.number("delay_seen_ns"),
                    readLoadReport(gateway));
            case "WHISPER" -> new PeerMessageReceived(fields.integer("neighbour"), readBody());
            case "DONE" -> new AttemptEnded(fields.text("rid"), fields.integer("send_no"),
                    fields.text("host"), readOutcome(), fields.number("delay_seen_ns"),
                    fields.number("over", 0) == 1, readLoadReport(gateway));
            default -> new TimerFired(fields.number("nonce"));
        };
    }

    private String readTenant() {
        String tenant = fields.optional("realm");
        return "0".equals(tenant) ? null : tenant;
    }

    private byte[] readBody() {
        String hex = fields.text("body");
        try {
            return hex.equals("-") ? new byte[0] : HEX.parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new MalformedInput(lineReader.lineNumber, "body is not hex: '" + hex + "'");
        }
    }

    private Outcome readOutcome() {
        String code = fields.text("outcome");
        return switch (code) {
            case "pass" -> Outcome.SERVED;
            case "fault" -> Outcome.ERROR;
            case "no_room" -> Outcome.FULL;
            case "too_slow" -> Outcome.TIMED_OUT;
            case "no_route" -> Outcome.CONNECT_FAILED;
            case "cut" -> Outcome.RESET;
            case "undone" -> Outcome.CANCELLED;
            case "stale_send" -> Outcome.NOT_SENT;
            default -> throw new MalformedInput(lineReader.lineNumber, "unknown outcome '" + code + "'");
        };
    }

    private LoadReport readLoadReport(Gateway gateway) {
        String row = fields.optional("load");
        if (row == null || row.isEmpty()) {
            return null;
        }
        double[] values = new double[ReportColumn.values().length];
        Arrays.fill(values, Double.NaN);
        String[] parts = row.split(",", -1);
        for (int i = 0; i < parts.length && i < gateway.reportColumns.length; i++) {
            if (gateway.reportColumns[i] != null) {
                values[gateway.reportColumns[i].ordinal()] = parseDouble(parts[i], "load", lineReader.lineNumber);
            }
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private Event readListReceived() {
        int scope = fields.integer("scope");
        ListKind kind = switch (scope) {
            case 0 -> ListKind.FAILED;
            case 1 -> ListKind.WHOLE;
            case 2 -> ListKind.CHANGES;
            case 3 -> ListKind.CACHED;
            default -> throw new MalformedInput(lineReader.lineNumber, "unknown scope " + scope);
        };
        if (kind == ListKind.FAILED) {
            return new ListReceived(kind, List.of());
        }
        List<ServerInfo> servers = slots.get(readSlot());
        if (servers == null) {
            throw new MalformedInput(lineReader.lineNumber, "FLEET names slot " + fields.text("slot") + ", never filled");
        }
        return new ListReceived(kind, servers);
    }

    private int readSlot() {
        int slot = fields.integer("slot");
        if (slot < 0 || slot >= SLOT_COUNT) {
            throw new MalformedInput(lineReader.lineNumber, "slot " + slot + " is not in 0 to " + (SLOT_COUNT - 1));
        }
        return slot;
    }

    private void readPool() throws IOException {
        int slot = readSlot();
        long rows = fields.number("rows_in");
        List<ServerInfo> servers = new ArrayList<>();
        for (long i = 0; i < rows; i++) {
            if (!readFields()) {
                throw new MalformedInput(lineReader.lineNumber, "the input ends within a POOL");
            }
            expectTag("ITEM");
            servers.add(new ServerInfo(fields.text("host"), fields.text("dc"),
                    fields.text("kind", ""), fields.integer("group", 0),
                    readReadiness(), parseDouble(fields.text("capacity_hint", "1"), "capacity_hint", lineReader.lineNumber),
                    fields.number("online_since_ns", 0)));
        }
        slots.set(slot, List.copyOf(servers));
    }

    private Readiness readReadiness() {
        int status = fields.integer("status");
        return switch (status) {
            case 0 -> Readiness.GONE;
            case 1 -> Readiness.READY;
            case 2 -> Readiness.DRAINING;
            default -> throw new MalformedInput(lineReader.lineNumber, "unknown status " + status);
        };
    }

    private static double parseDouble(String value, String name, long line) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedInput(line, name + " is not a number: '" + value + "'");
        }
    }

    private static long parseLong(String value, String name, long line) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new MalformedInput(line, name + " is not a whole number: '" + value + "'");
        }
    }

    /** The values of a load report, in the order of the components of {@link LoadReport}. */
    private enum ReportColumn {
        TPS, LOAD_SHARE, ERR_PS, CONCURRENT, DEPTH, MEAN_MS;

        static ReportColumn fromWireName(String wireName) {
            for (ReportColumn column : values()) {
                if (column.name().equalsIgnoreCase(wireName)) {
                    return column;
                }
            }
            return null; // a column that the module does not use
        }
    }

    /** One gateway: passes events to its decision module and writes the module's actions as lines. */
    private static final class Gateway implements Actions {
        private final String prefix;
        private final ReportColumn[] reportColumns;
        private final StringBuilder reply;
        private final LoadBalancer choice;
        private boolean failed;

        Gateway(int number, Settings settings, long seed, ReportColumn[] reportColumns, StringBuilder reply) {
            this.prefix = "\tgateway=" + number;
            this.reportColumns = reportColumns;
            this.reply = reply;
            this.choice = new LoadBalancer(settings, seed, this);
        }

        void handleEvent(long now, Event event) {
            if (failed) {
                return;
            }
            try {
                choice.handle(now, event);
            } catch (RuntimeException e) {
                failed = true;
                startLine("GIVE_IN").append("\tmessage=").append(oneLine(e.toString())).append('\n');
            }
        }

        private StringBuilder startLine(String tag) {
            return reply.append(tag).append(prefix);
        }

        private static String oneLine(String text) {
            return text.replace('\n', ' ').replace('\t', ' ').replace('\r', ' ');
        }

        @Override
        public void send(String request, String server, long timeoutNanos) {
            startLine("FORWARD").append("\trid=").append(request).append("\thost=").append(server)
                    .append("\ttry_for_ns=").append(timeoutNanos).append('\n');
        }

        @Override
        public void refuse(String request, long retryAfterNanos) {
            startLine("DENY").append("\trid=").append(request).append("\tpause_ns=").append(retryAfterNanos)
                    .append('\n');
        }

        @Override
        public void fail(String request) {
            startLine("GIVE_UP").append("\trid=").append(request).append('\n');
        }

        @Override
        public void cancel(String request, int attempt) {
            startLine("UNDO_SEND").append("\trid=").append(request).append("\tsend_no=").append(attempt)
                    .append('\n');
        }

        @Override
        public void probe(String server) {
            startLine("INSPECT").append("\thost=").append(server).append('\n');
        }

        @Override
        public void broadcast(byte[] body) {
            startLine("WRITE_PEER").append("\tpeer=all\tbody=")
                    .append(body.length == 0 ? "-" : HEX.formatHex(body)).append('\n');
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            startLine("REMIND").append("\toffset_ns=").append(delayNanos).append("\tnonce=").append(token)
                    .append('\n');
        }

        @Override
        public void subscribe() {
            startLine("SUBSCRIBE").append("\tactive=1\n");
        }

        @Override
        public void fetchList() {
            startLine("RESOLVE").append('\n');
        }

        @Override
        public void log(String text) {
            startLine("WRITE_LOG").append("\tmessage=").append(oneLine(text)).append('\n');
        }
    }

    /** The fields of one line. One object is reused for all lines, because the CPU time of every event counts. */
    private static final class Fields {
        private String tag = "";
        private long line;
        private int count;
        private String[] names = new String[64];
        private String[] values = new String[64];

        void parse(String text, long lineNumber) {
            line = lineNumber;
            count = 0;
            int end = text.indexOf('\t');
            tag = end < 0 ? text : text.substring(0, end);
            while (end >= 0) {
                int start = end + 1;
                end = text.indexOf('\t', start);
                add(text, start, end < 0 ? text.length() : end);
            }
        }

        private void add(String text, int start, int end) {
            int equals = text.indexOf('=', start);
            if (equals < 0 || equals >= end) {
                throw new MalformedInput(line, "'" + text.substring(start, end) + "' is not name=value");
            }
            if (count == names.length) {
                names = Arrays.copyOf(names, 2 * count);
                values = Arrays.copyOf(values, 2 * count);
            }
            names[count] = text.substring(start, equals);
            values[count++] = text.substring(equals + 1, end);
        }

        Map<String, String> toMap() {
            Map<String, String> map = new HashMap<>();
            for (int i = 0; i < count; i++) {
                map.put(names[i], values[i]);
            }
            return map;
        }

        String optional(String name) {
            for (int i = 0; i < count; i++) {
                if (names[i].equals(name)) {
                    return values[i];
                }
            }
            return null;
        }

        String text(String name) {
            String value = optional(name);
            if (value == null || value.isEmpty()) {
                throw new MalformedInput(line, tag + " lacks " + name);
            }
            return value;
        }

        String text(String name, String defaultValue) {
            String value = optional(name);
            return value == null ? defaultValue : value;
        }

        long number(String name) {
            return parseLong(text(name), name, line);
        }

        long number(String name, long defaultValue) {
            String value = optional(name);
            return value == null ? defaultValue : parseLong(value, name, line);
        }

        int integer(String name) {
            return toInt(number(name), name);
        }

        int integer(String name, int defaultValue) {
            return toInt(number(name, defaultValue), name);
        }

        private int toInt(long value, String name) {
            if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
                throw new MalformedInput(line, name + " is out of range: " + value);
            }
            return (int) value;
        }
    }

    /** Reads lines of UTF-8 text. Reads what is available and never blocks for input beyond the requested line. */
    private static final class LineReader {
        private final InputStream in;
        private byte[] buffer = new byte[1 << 16];
        private int start;
        private int end;
        private long lineNumber;

        LineReader(InputStream in) {
            this.in = in;
        }

        String readLine() throws IOException {
            int length = 0;
            while (true) {
                while (start + length < end && buffer[start + length] != '\n') {
                    length++;
                }
                if (start + length < end || !fill()) {
                    break;
                }
            }
            if (start == end) {
                return null;
            }
            lineNumber++;
            String line = new String(buffer, start, length, StandardCharsets.UTF_8);
            start = Math.min(start + length + 1, end);
            return line;
        }

        private boolean fill() throws IOException {
            if (end == buffer.length) {
                if (start > 0) {
                    System.arraycopy(buffer, start, buffer, 0, end - start);
                    end -= start;
                    start = 0;
                } else {
                    buffer = Arrays.copyOf(buffer, 2 * buffer.length);
                }
            }
            int read = in.read(buffer, end, buffer.length - end);
            if (read <= 0) {
                return false;
            }
            end += read;
            return true;
        }
    }
}
