import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: control hosts and nodes of the project as separate processes, started with the commands of the
 * deploy file and the settings template that it names, each on a loopback address of its own.
 */
final class Mesh implements AutoCloseable {
    static final int BACKEND_PORT = 18301;
    static final int READY_PORT = 18302;
    static final int CALLER_PORT = 18304;
    static final int CONTROL_PORT = 18306;
    static final int PEER_PORT = 18320;

    private static final long START_NS = System.nanoTime();

    final Path folder;
    private final String prefix;
    private final PrintWriter record;
    private final Map<String, Process> processes = new HashMap<>();
    private final List<String> seeds = new ArrayList<>();
    private final String template;
    private final Map<String, String[]> commands = new HashMap<>();

    /** Opens a deployment whose record goes to the file {@code record.txt} in the given case folder. */
    Mesh(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        folder = Files.createTempDirectory("review");
        prefix = freePrefix();
        template = Files.readString(Path.of("deploy/node.ini"));
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (line.startsWith("run = ")) {
                commands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Thread main = Thread.currentThread();
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            if (thread == main) {
                System.out.println("the case could not run: " + failure);
                System.exit(2);
            }
        });
    }

    private static String freePrefix() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String candidate = "127." + random.nextInt(20, 120) + "." + random.nextInt(1, 250) + ".";
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(candidate + "10", PEER_PORT));
                return candidate;
            } catch (IOException e) {
                // In use: another prefix is drawn.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    /** Time since the start of the test in milliseconds. */
    static long now() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    synchronized void record(String format, Object... arguments) {
        record.println(String.format(Locale.ROOT, "%6d  ", now()) + String.format(Locale.ROOT, format, arguments));
        record.flush();
    }

    String ip(int host) {
        return prefix + host;
    }

    /** Sets the hosts whose control addresses all processes get as seeds. */
    void seeds(int... hosts) {
        seeds.clear();
        for (int host : hosts) {
            seeds.add(ip(host) + ":" + CONTROL_PORT);
        }
    }

    /** Starts a process; role is control or node; service is empty for a control host. */
    void start(String role, int host, String zone, String service, boolean firstStart) throws IOException {
        boolean control = role.equals("control");
        String name = role + "-" + host;
        Map<String, String> values = new TreeMap<>();
        values.put("host_name", name);
        values.put("data_centre", zone);
        values.put("region", "region-" + zone);
        values.put("ip", ip(host));
        values.put("service", service);
        values.put("backend_address", control ? "" : ip(host) + ":" + BACKEND_PORT);
        values.put("listen.outbound", control ? "" : ip(host) + ":" + CALLER_PORT);
        values.put("listen.ready", control ? "" : ip(host) + ":" + READY_PORT);
        values.put("listen.control", ip(host) + ":" + CONTROL_PORT);
        values.put("internal_ports.0", Integer.toString(PEER_PORT));
        values.put("seeds", String.join(",", seeds));
        values.put("bootstrap", Boolean.toString(firstStart));
        values.put("losses_to_bear.machines", "2");
        values.put("data_dir", control ? folder.resolve("data-" + host).toString() : "");
        values.put("bounds.drain_ms", "2500");
        values.put("bounds.grace_s", "6");
        values.put("heartbeat_interval_ms", "1500");
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.budget_window_s", "10");
        values.put("bounds.budget_slack", "49");
        String settings = template;
        for (Map.Entry<String, String> value : values.entrySet()) {
            settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (settings.contains("{{")) {
            throw new IOException("the template has a placeholder that this test does not know: " + settings);
        }
        Path file = folder.resolve(name + ".ini");
        Files.writeString(file, settings);
        if (control) {
            Files.createDirectories(folder.resolve("data-" + host));
        }
        ProcessBuilder builder = new ProcessBuilder(commands.get(role));
        builder.environment().put("SEQUOIANOTCH_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        synchronized (processes) {
            processes.put(name, builder.start());
        }
        record("started %s at %s in %s", name, ip(host), zone);
    }

    /** Starts another program of this test on the runtime that the deploy file builds. */
    void startStandIn(String name, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("target/runtime/bin/java", "-Xmx64m", "-cp", "target/review"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        synchronized (processes) {
            processes.put(name, builder.start());
        }
        record("started %s", name);
    }

    /** Sends a signal to a process that this test started. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        Process process = processes.get(name);
        record("signal %s to %s", signal, name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    void awaitEnd(String name, long timeoutMs) throws InterruptedException {
        processes.get(name).waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    /** Waits for a condition; ends the test with status 2 if it does not hold in time. */
    void await(String what, long timeoutMs, Condition condition) throws InterruptedException {
        long end = now() + timeoutMs;
        while (true) {
            try {
                if (condition.holds()) {
                    record("now: %s", what);
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            if (now() > end) {
                record("the case could not run: timed out waiting until %s", what);
                System.out.println("the case could not run: timed out waiting until " + what);
                System.exit(2);
            }
            Thread.sleep(50);
        }
    }

    /** Sends a configuration to a control host and returns the status. */
    int replace(int host, long base, long version, List<Object> routes, String... services) throws IOException {
        List<Object> serviceList = new ArrayList<>();
        for (String service : services) {
            serviceList.add(map("name", service, "health_path", "/health", "max_connections", 472, "protocol", "h1",
                    "tls", false));
        }
        byte[] body = pack(map("version", version, "routes", routes, "services", serviceList, "limits",
                map("max_head_bytes", 16384, "max_body_bytes", 67108864, "head_timeout_ms", 3000, "idle_timeout_ms",
                        15000)));
        Answer answer = call(ip(host), CONTROL_PORT, "POST", "/api/config/replace",
                List.of("Host: " + ip(host), "X-Base-Version: " + base, "Content-Type: application/msgpack"), body,
                3_000);
        record("operator: version %d on top of %d to control-%d: %d %s", version, base, host, answer.status,
                answer.text().trim());
        return answer.status;
    }

    static Map<String, Object> route(String name, String authority, String prefix, String type, long timeoutMs,
            int priority, int maxAttempts, String service) {
        return map("name", name, "authority", authority, "path_prefix", prefix, "repeat_rule", type, "timeout_ms",
                timeoutMs, "target_latency_ms", 1500, "priority", priority, "service", service, "max_attempts",
                maxAttempts);
    }

    boolean isReady(int host) throws IOException {
        return call(ip(host), READY_PORT, "GET", "/api/readiness", List.of("Host: " + ip(host)), new byte[0], 1_000)
                .status == 200;
    }

    static Map<String, Object> map(Object... entries) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < entries.length; i += 2) {
            map.put((String) entries[i], entries[i + 1]);
        }
        return map;
    }

    static byte[] pack(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        pack(out, value);
        return out.toByteArray();
    }

    private static void pack(ByteArrayOutputStream out, Object value) {
        switch (value) {
            case Map<?, ?> map -> {
                out.write(0xdf);
                writeInt(out, map.size());
                map.forEach((key, field) -> {
                    pack(out, key);
                    pack(out, field);
                });
            }
            case List<?> list -> {
                out.write(0xdd);
                writeInt(out, list.size());
                list.forEach(entry -> pack(out, entry));
            }
            case Boolean flag -> out.write(flag ? 0xc3 : 0xc2);
            case Number number -> {
                out.write(0xd3);
                writeInt(out, (int) (number.longValue() >> 32));
                writeInt(out, (int) number.longValue());
            }
            default -> {
                byte[] text = value.toString().getBytes(StandardCharsets.UTF_8);
                out.write(0xdb);
                writeInt(out, text.length);
                out.writeBytes(text);
            }
        }
    }

    private static void writeInt(ByteArrayOutputStream out, int value) {
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write(value >> shift);
        }
    }

    /** An answer as a client reads it. */
    static final class Answer {
        int status;
        /** Lower-case names. */
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];
        /** Whether the body has the length that its framing states. */
        boolean complete;
        String end = "";
        long tookMs;

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Sends one request on a new connection and reads the answer; status 0 if there was none. */
    static Answer call(String ip, int port, String method, String path, List<String> headers, byte[] body,
            int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach(header -> head.append(header).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            request.writeBytes(body);
            socket.getOutputStream().write(request.toByteArray());
            long sentAt = now();
            Answer answer = read(socket.getInputStream());
            answer.tookMs = now() - sentAt;
            return answer;
        }
    }

    /** Reads one answer; an answer that is cut is not complete. */
    static Answer read(InputStream in) {
        Answer answer = new Answer();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            String line = line(in);
            if (line == null || !line.startsWith("HTTP/1.1 ")) {
                answer.end = line == null ? "closed without an answer" : "no answer in the protocol: " + line;
                return answer;
            }
            answer.status = Integer.parseInt(line.substring(9, 12));
            for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                answer.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            if (line == null) {
                answer.end = "closed in the head";
                return answer;
            }
            if (answer.headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
                readChunks(in, received);
            } else {
                int left = Integer.parseInt(answer.headers.getOrDefault("content-length", "0"));
                readExactly(in, received, left);
            }
            answer.complete = true;
            answer.end = "complete";
        } catch (IOException | RuntimeException e) {
            answer.end = "cut: " + e.getMessage();
        }
        answer.body = received.toByteArray();
        return answer;
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream received) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new IOException("closed between chunks");
            }
            int left = Integer.parseInt(size.trim(), 16);
            readExactly(in, received, left);
            String end = line(in);
            if (end == null) {
                throw new IOException("closed after a chunk");
            }
            if (left == 0) {
                return;
            }
        }
    }

    private static void readExactly(InputStream in, ByteArrayOutputStream received, int bytes) throws IOException {
        byte[] buffer = new byte[8_192];
        int left = bytes;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new IOException("closed with " + left + " bytes missing");
            }
            received.write(buffer, 0, count);
            left -= count;
        }
    }

    /** Reads a line that ends with CR LF; null at the end of the connection. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.charAt(line.length() - 1) == '\r' ? line.substring(0, line.length() - 1) : line.toString();
            }
            line.append((char) c);
        }
        return null;
    }

    private void killAll() {
        synchronized (processes) {
            processes.values().forEach(Process::destroyForcibly);
            processes.values().forEach(process -> {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Left in the temporary folder.
        }
    }

    @Override
    public void close() {
        killAll();
    }
}
