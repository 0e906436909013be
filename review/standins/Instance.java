import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A stand-in instance. It announces itself to the node on its host, answers with its id, the request's id and a
 * signature, and prints what it runs and answers.
 *
 * <p>Arguments: ip, port, service, id, slots, milliseconds of work, bytes of the body, and the framing: {@code length},
 * or {@code unframed} for answers that have no length and end with their connection. An answer is sent in pieces while
 * the instance works on it. The port may be that of a proxy's target; the address announced has the usual port.
 */
class Instance {
    private static final int PIECES = 6;

    private final String ip;
    private final int port;
    private final String service;
    private final String id;
    private final int slots;
    private final int workMs;
    private final int bodyBytes;
    private final boolean unframed;

    Instance(String... arguments) {
        ip = arguments[0];
        port = Integer.parseInt(arguments[1]);
        service = arguments[2];
        id = arguments[3];
        slots = Integer.parseInt(arguments[4]);
        workMs = Integer.parseInt(arguments[5]);
        bodyBytes = Integer.parseInt(arguments[6]);
        unframed = arguments[7].equals("unframed");
    }

    public static void main(String[] arguments) throws Exception {
        new Instance(arguments).run();
    }

    /** Returns the body of a heartbeat of an instance that is ready. */
    static byte[] beatBody(String ip, String service, int slots, int sequence, long born) {
        return Mesh.pack(Mesh.map("service", service, "address", ip + ":" + Mesh.BACKEND_PORT, "data_centre", "z1",
                "version", "v1", "slots", slots, "state", "ready", "sequence", sequence, "cold_left_ms", 0, "born",
                born));
    }

    /** Sends a call of an instance to the node on its host and returns the status. */
    static int tell(String ip, String id, String call, byte[] body) throws IOException {
        return Mesh.call(ip, Mesh.CONTROL_PORT, "POST", "/api/instances/" + id + "/" + call,
                List.of("Host: " + ip, "Content-Type: application/msgpack"), body, 1_000).status;
    }

    /** The whole body of the answer to a request: its id, and then digits up to the length. */
    static String body(String attemptId, int bytes) {
        StringBuilder body = new StringBuilder(attemptId + ":");
        while (body.length() < bytes) {
            body.append(body.length() % 10);
        }
        return body.toString();
    }

    void log(String line) {
        System.out.println(line);
    }

    /** Called when the instance begins to work on a request. */
    void ran(String attempt) {}

    void run() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 500);
        Thread.ofVirtual().start(this::beat);
        while (true) {
            Socket socket = server.accept();
            Thread.ofVirtual().start(() -> serve(socket));
        }
    }

    void beat() {
        long born = System.currentTimeMillis();
        for (int sequence = 1; ; sequence++) {
            try {
                tell(ip, id, "heartbeat", beatBody(ip, service, slots, sequence, born));
            } catch (IOException e) {
                System.out.println("beat failed: " + e.getMessage());
            }
            pause(1_500);
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (String request = Mesh.line(in); request != null; request = Mesh.line(in)) {
                Map<String, String> headers = new HashMap<>();
                for (String line = Mesh.line(in); line != null && !line.isEmpty(); line = Mesh.line(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
                }
                in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                if (!answer(request, headers, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            log("connection ended: " + e.getMessage());
        }
    }

    /** Answers a request and returns whether the connection stays open. */
    private boolean answer(String request, Map<String, String> headers, OutputStream out) throws IOException {
        String attempt = headers.getOrDefault("x-attempt-id", "");
        if (!id.equals(headers.getOrDefault("x-expected-instance", id))) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: other\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        log("ran " + attempt + " " + request);
        ran(attempt);
        String body = body(attempt, bodyBytes);
        write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: s-" + attempt + "\r\n"
                + (unframed ? "Connection: close\r\n\r\n" : "Content-Length: " + body.length() + "\r\n\r\n"));
        int step = (body.length() + PIECES - 1) / PIECES;
        for (int from = 0; from < body.length(); from += step) {
            write(out, body.substring(from, Math.min(body.length(), from + step)));
            pause(workMs / PIECES);
        }
        log("answered " + attempt);
        return !unframed;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
