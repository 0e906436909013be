import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: control hosts and nodes are processes of the deploy file, with settings made
 * from its template; instances, clients, the operator and the platform are stand-ins of this package.
 */
final class Fleet implements AutoCloseable {
    static final int APP = 8301;
    static final int READY = 8302;
    static final int CALLERS = 8304;
    static final int CONTROL = 8306;
    static final int PEER = 7620;
    static final String HOST = "shop.example";

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final String prefix;
    final List<Machine> controls = new ArrayList<>();
    final List<Machine> nodes = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> record = new ConcurrentLinkedQueue<>();
    private final long startNs = System.nanoTime();
    private final int losses;
    private boolean first = true;

    Fleet(int controlHosts, int losses) throws IOException {
        long pid = ProcessHandle.current().pid();
        prefix = "127." + (64 + (pid >> 8 & 0x3f)) + "." + (pid & 0xff) + ".";
        folder = Files.createTempDirectory("fleet-");
        this.losses = losses;
        for (int i = 0; i < controlHosts; i++) {
            controls.add(new Machine("core-" + i, "zone-" + i % 3, "control", prefix + (1 + i), "core"));
        }
    }

    Machine addNode(String name, String zone, String service) {
        Machine node = new Machine(name, zone, "node", prefix + (20 + nodes.size()), service);
        nodes.add(node);
        return node;
    }

    /** The time since the start of the test in seconds. */
    double now() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    void log(String line) {
        record.add(String.format("%8.3f %s", now(), line));
    }

    List<String> lines() {
        return new ArrayList<>(record);
    }

    void writeRecord(Path file) throws IOException {
        Files.write(file, new ArrayList<>(record));
    }

    /** One process of the system, with its settings file. */
    final class Machine {
        final String name;
        final String zone;
        final String role;
        final String ip;
        final String service;
        volatile Process process;
        /** Time of the last start, kill or signal by this test. */
        volatile double disturbedAt = -100;

        Machine(String name, String zone, String role, String ip, String service) {
            this.name = name;
            this.zone = zone;
            this.role = role;
            this.ip = ip;
            this.service = service;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".ini");
            Files.writeString(settings, settings());
            ProcessBuilder builder = new ProcessBuilder(command(role).split(" "));
            builder.directory(root.toFile());
            builder.environment().put("SEQUOIANOTCH_CONFIG", settings.toString());
            File output = folder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
            disturbedAt = now();
            process = builder.start();
        }

        private String settings() throws IOException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("host_name", name);
            values.put("data_centre", zone);
            values.put("region", "region-" + zone);
            values.put("ip", ip);
            values.put("service", role.equals("node") ? service : "");
            values.put("backend_address", role.equals("node") ? ip + ":" + APP : "");
            values.put("listen.outbound", ip + ":" + CALLERS);
            values.put("listen.ready", ip + ":" + READY);
            values.put("listen.control", ip + ":" + CONTROL);
            values.put("internal_ports.0", Integer.toString(PEER));
            List<String> seeds = new ArrayList<>();
            controls.stream().limit(3).forEach(control -> seeds.add(control.ip + ":" + CONTROL));
            values.put("seeds", String.join(",", seeds));
            values.put("bootstrap", Boolean.toString(first));
            values.put("losses_to_bear.machines", Integer.toString(losses));
            values.put("data_dir", role.equals("control") ? folder.resolve(name + ".data").toString() : "");
            values.put("bounds.drain_ms", "2500");
            values.put("bounds.grace_s", "6");
            values.put("heartbeat_interval_ms", "1500");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.budget_window_s", "10");
            values.put("bounds.budget_slack", "49");
            String text = Files.readString(root.resolve("deploy/node.ini"));
            Matcher matcher = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(text);
            return matcher.replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
        }

        void kill() {
            disturbedAt = now();
            process.destroyForcibly();
        }

        void signal(String name) throws IOException, InterruptedException {
            disturbedAt = now();
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        boolean isReady() {
            try {
                return Http.call(ip, READY, "GET", "/api/readiness", Map.of(), null, 1_000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    private String command(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return matcher.group(1);
    }

    void startAll() throws IOException {
        for (Machine machine : controls) {
            machine.start();
        }
        for (Machine machine : nodes) {
            machine.start();
        }
        first = false;
    }

    /** Sends a configuration until a control host acknowledges it. */
    void configure(long base, byte[] body, double seconds) throws InterruptedException {
        double end = now() + seconds;
        for (int i = 0; now() < end; i++) {
            Machine control = controls.get(i % controls.size());
            try {
                Http.Answer answer = Http.call(
                        control.ip, CONTROL, "POST", "/api/config/replace",
                        Map.of("X-Base-Version", Long.toString(base), "Content-Type", "application/msgpack"), body, 1_000);
                log("operator: " + control.name + " answered " + answer.status + " to a configuration on top of " + base);
                if (answer.status == 200) {
                    return;
                }
            } catch (IOException e) {
                log("operator: " + control.name + " did not answer: " + e);
            }
            Thread.sleep(200);
        }
        throw new IllegalStateException("the configuration was not acknowledged");
    }

    /** Waits until all nodes are ready; a node that never becomes ready is returned. */
    List<Machine> awaitReady(double seconds) throws InterruptedException {
        double end = now() + seconds;
        List<Machine> missing = new ArrayList<>(nodes);
        while (!missing.isEmpty() && now() < end) {
            missing.removeIf(Machine::isReady);
            Thread.sleep(100);
        }
        return missing;
    }

    @Override
    public void close() throws IOException {
        List<Machine> all = new ArrayList<>(controls);
        all.addAll(nodes);
        for (Machine machine : all) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        for (Machine machine : all) {
            try {
                if (machine.process != null) {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** A writer of MessagePack, for maps, lists, texts and whole numbers. */
    static byte[] pack(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        pack(value, out);
        return out.toByteArray();
    }

    private static void pack(Object value, ByteArrayOutputStream out) {
        switch (value) {
            case Map<?, ?> map -> {
                out.write(0xdf);
                number(map.size(), 4, out);
                map.forEach((key, entry) -> {
                    pack(key, out);
                    pack(entry, out);
                });
            }
            case List<?> list -> {
                out.write(0xdd);
                number(list.size(), 4, out);
                list.forEach(entry -> pack(entry, out));
            }
            case String text -> {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                out.write(0xdb);
                number(bytes.length, 4, out);
                out.writeBytes(bytes);
            }
            case Number number -> {
                out.write(0xd3);
                number(number.longValue(), 8, out);
            }
            default -> throw new IllegalArgumentException(value.getClass().toString());
        }
    }

    private static void number(long value, int bytes, ByteArrayOutputStream out) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out.write((int) (value >> shift));
        }
    }

    static Map<String, Object> route(
            String name, String prefix, String rule, long timeoutMs, int attempts, String service) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("authority", HOST);
        route.put("path_prefix", prefix);
        route.put("repeat_rule", rule);
        route.put("timeout_ms", timeoutMs);
        route.put("target_latency_ms", 1_500);
        route.put("priority", rule.equals("idempotent") ? 2 : 0);
        route.put("service", service);
        route.put("max_attempts", attempts);
        return route;
    }

    static byte[] configuration(long version, List<Map<String, Object>> routes, List<String> services) {
        List<Object> entries = new ArrayList<>();
        for (String service : services) {
            entries.add(Map.of("name", service, "health_path", "/health", "max_connections", 472));
        }
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("version", version);
        document.put("routes", routes);
        document.put("services", entries);
        document.put("limits", Map.of(
                "max_head_bytes", 16_384, "max_body_bytes", 67_108_864, "head_timeout_ms", 3_000, "idle_timeout_ms", 15_000));
        return pack(document);
    }

    /** A small HTTP/1.1 client, with one connection for each request. */
    static final class Http {
        record Answer(int status, Map<String, String> headers, byte[] body) {}

        static Answer call(
                String ip, int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
                throws IOException {
            long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, port), Math.min(timeoutMs, 1_000));
                socket.setTcpNoDelay(true);
                StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
                if (!headers.containsKey("Host")) {
                    head.append("Host: ").append(ip).append("\r\n");
                }
                headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                if (body != null) {
                    head.append("Content-Length: ").append(body.length).append("\r\n");
                }
                ByteArrayOutputStream message = new ByteArrayOutputStream();
                message.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
                if (body != null) {
                    message.writeBytes(body);
                }
                socket.getOutputStream().write(message.toByteArray());
                return read(socket, endNs);
            }
        }

        static Answer read(Socket socket, long endNs) throws IOException {
            InputStream in = new InputStream() {
                @Override
                public int read() throws IOException {
                    long leftMs = (endNs - System.nanoTime()) / 1_000_000;
                    if (leftMs <= 0) {
                        throw new java.net.SocketTimeoutException("no answer in time");
                    }
                    socket.setSoTimeout((int) leftMs);
                    return socket.getInputStream().read();
                }
            };
            String line = line(in);
            int status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = headers(in);
            return new Answer(status, headers, body(in, headers));
        }

        static String line(InputStream in) throws IOException {
            StringBuilder text = new StringBuilder();
            while (true) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("the connection ended");
                }
                if (next == '\n') {
                    return text.toString();
                }
                if (next != '\r') {
                    text.append((char) next);
                }
            }
        }

        static Map<String, String> headers(InputStream in) throws IOException {
            Map<String, String> headers = new java.util.TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            String line = line(in);
            while (!line.isEmpty()) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
                line = line(in);
            }
            return headers;
        }

        static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                while (size > 0) {
                    copy(in, size, body);
                    line(in);
                    size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                }
                line(in);
            } else {
                copy(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")), body);
            }
            return body.toByteArray();
        }

        private static void copy(InputStream in, int bytes, OutputStream out) throws IOException {
            for (int i = 0; i < bytes; i++) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("the connection ended");
                }
                out.write(next);
            }
        }
    }
}
