import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound instance of a service beside a node: runs requests, answers them, and sends its heartbeats to the node.
 *
 * <p>It may drop a request when its connection closes. It may make a call of its own for each request, on connections to
 * its node that it keeps open.
 */
final class Instance {
    private static final AtomicLong NEXT_ID = new AtomicLong();
    final Fleet fleet;
    final Fleet.Machine machine;
    final String id = String.format("i-%08x", 0x7f000000L + NEXT_ID.incrementAndGet());
    final int slots = 62;
    final long workMs;
    final long bornMs = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean ended;
    private volatile boolean beats = true;
    /** Path of the call that a request needs, or empty if it needs none. */
    private final String callPath;
    /** Whether it drops a request, and the call that the request makes, when the connection of the request closes. */
    private final boolean drops;
    private final ConcurrentLinkedDeque<Socket> kept = new ConcurrentLinkedDeque<>();

    Instance(Fleet fleet, Fleet.Machine machine, long workMs) throws IOException {
        this(fleet, machine, workMs, "", false);
    }

    Instance(Fleet fleet, Fleet.Machine machine, long workMs, String callPath, boolean drops) throws IOException {
        this.callPath = callPath;
        this.drops = drops;
        this.fleet = fleet;
        this.machine = machine;
        this.workMs = workMs;
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(machine.ip, Fleet.APP), 512);
        Thread.ofVirtual().start(() -> accept(server));
        Thread.ofVirtual().start(this::beat);
    }

    private void accept(ServerSocket server) {
        while (!ended) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            PushbackInputStream in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            while (true) {
                String line = Fleet.Http.line(in);
                Map<String, String> headers = Fleet.Http.headers(in);
                Fleet.Http.body(in, headers);
                Request request = new Request();
                if (!drops) {
                    answer(line.split(" "), headers, out, request);
                    continue;
                }
                Thread worker = Thread.ofVirtual().start(() -> answerOrDrop(line.split(" "), headers, out, request));
                // The next request follows the answer, so that the end of the connection shows that the node has left.
                int next = in.read();
                if (next < 0) {
                    request.drop(worker);
                    return;
                }
                worker.join();
                in.unread(next);
            }
        } catch (IOException e) {
            // The connection has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answerOrDrop(String[] line, Map<String, String> headers, OutputStream out, Request request) {
        try {
            answer(line, headers, out, request);
        } catch (IOException | InterruptedException e) {
            fleet.log("run " + headers.getOrDefault("X-Attempt-Id", "") + " is dropped");
        }
    }

    /** A request that is being run, with the connection of its call. */
    private static final class Request {
        private Socket call;
        private boolean dropped;

        synchronized void setCall(Socket newCall) throws IOException {
            if (dropped) {
                throw new IOException("the request is dropped");
            }
            call = newCall;
        }

        synchronized boolean isDropped() {
            return dropped;
        }

        synchronized void drop(Thread worker) throws IOException {
            dropped = true;
            worker.interrupt();
            if (call != null) {
                call.close();
            }
        }
    }

    private void answer(String[] line, Map<String, String> headers, OutputStream out, Request request)
            throws IOException, InterruptedException {
        String load = "X-Server-Load: " + running.get() + ",0," + slots + "\r\n";
        if (line[1].equals("/health")) {
            write(out, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\n" + load + "Content-Length: 0\r\n\r\n");
            return;
        }
        String attempt = headers.getOrDefault("X-Attempt-Id", "");
        if (!id.equals(headers.getOrDefault("X-Expected-Instance", id))) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        running.incrementAndGet();
        fleet.log("run " + attempt + " at " + id + " (" + machine.service + ")");
        long endNs = System.nanoTime() + Long.parseLong(headers.getOrDefault("X-Deadline-Remaining-Ms", "5000")) * 1_000_000;
        boolean called;
        try {
            Thread.sleep(workMs);
            called = callPath.isEmpty() || call(attempt + ".1", endNs, request);
        } finally {
            running.decrementAndGet();
        }
        fleet.log("run " + attempt + " ends");
        if (!called) {
            write(out, "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Response-Signature: 3e1b." + attempt + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String text = "answer to " + attempt;
        write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: 3e1b." + attempt + "\r\n"
                + load + "Keep-Alive: timeout=10\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }

    /** Makes a call through the node of this machine, which expires at the deadline of the request that needs it. */
    private boolean call(String id, long endNs, Request request) throws IOException {
        Socket socket = kept.pollLast();
        boolean isKept = socket != null;
        String connection = isKept ? "kept" : "new";
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(new InetSocketAddress(machine.ip, Fleet.CALLERS), 1_000);
                socket.setTcpNoDelay(true);
            }
            request.setCall(socket);
            long leftMs = Math.max(1, (endNs - System.nanoTime()) / 1_000_000);
            fleet.log("call " + id + " to " + machine.name + " on a " + connection + " connection");
            write(socket.getOutputStream(), "GET " + callPath + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Attempt-Id: "
                    + id + "\r\nX-Deadline-Remaining-Ms: " + leftMs + "\r\n\r\n");
            Fleet.Http.Answer answer = Fleet.Http.read(socket, endNs);
            request.setCall(null);
            fleet.log("call " + id + " answered with " + answer.status());
            if ("close".equalsIgnoreCase(answer.headers().get("Connection"))) {
                socket.close();
            } else {
                kept.addLast(socket);
            }
            return answer.status() == 200;
        } catch (java.net.SocketTimeoutException e) {
            fleet.log("call " + id + " expired");
        } catch (IOException e) {
            if (request.isDropped()) {
                throw e;
            }
            fleet.log("call " + id + " on a " + connection + " connection: closed without an answer");
        }
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
        return false;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns the next heartbeat, which the caller sends. */
    byte[] nextBeat() {
        Map<String, Object> beat = new LinkedHashMap<>();
        beat.put("address", machine.ip + ":" + Fleet.APP);
        beat.put("service", machine.service);
        beat.put("data_centre", machine.zone);
        beat.put("version", "v1");
        beat.put("slots", slots);
        beat.put("state", "ready");
        beat.put("sequence", sequence.incrementAndGet());
        beat.put("cold_left_ms", 0);
        beat.put("born", bornMs);
        return Fleet.pack(beat);
    }

    /** Sends a heartbeat and returns whether it was acknowledged. */
    boolean send(byte[] beat) {
        return post("/heartbeat", beat);
    }

    /** Ends the heartbeats, says that this instance leaves, and returns whether that was acknowledged. */
    boolean deregister() {
        beats = false;
        return post("/deregister", Fleet.pack(Map.of("born", bornMs)));
    }

    private boolean post(String path, byte[] body) {
        try {
            return Fleet.Http.call(machine.ip, Fleet.CONTROL, "POST", "/api/instances/" + id + path,
                    Map.of("Content-Type", "application/msgpack"), body, 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void beat() {
        while (beats) {
            send(nextBeat());
            try {
                Thread.sleep(1_500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
