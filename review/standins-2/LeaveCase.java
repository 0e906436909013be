import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Clients leave before their deadline, while the instances that run their requests make calls on kept connections. */
final class LeaveCase {
    private static final double TRAFFIC_S = 30;
    private static final double LEAVING_SHARE = 0.3;
    /** Half of the objective of 1,200 ms. */
    private static final int LEAVES_WITHIN_MS = 600;

    private static final AtomicLong IDS = new AtomicLong();
    private static final Pattern CUT = Pattern.compile("call (\\S+) on a kept connection: closed without an answer");
    private static final Pattern RUN = Pattern.compile("run (\\S+) at ");

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        Fleet fleet = new Fleet(3, 1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                fleet.close();
            } catch (IOException e) {
                System.err.println(e);
            }
        }));
        try {
            code = run(fleet, trouble);
        } catch (IllegalStateException | IOException e) {
            fleet.log("the case could not run: " + e);
            System.err.println("the case could not run: " + e);
        }
        fleet.writeRecord(Path.of(arguments[0]));
        System.exit(code);
    }

    private static int run(Fleet fleet, boolean trouble) throws Exception {
        for (int i = 0; i < 6; i++) {
            fleet.addNode("side-" + i, "zone-" + i % 3, i < 3 ? "specdesk" : "jobbook");
        }
        fleet.startAll();
        for (Fleet.Machine node : fleet.nodes) {
            if (node.service.equals("specdesk")) {
                // Most instances drop a request when its connection closes; one in six does not.
                new Instance(fleet, node, 90, "/crew/", node != fleet.nodes.getFirst());
            } else {
                new Instance(fleet, node, 250, "", true);
            }
        }
        fleet.configure(0, Fleet.configuration(1, List.of(
                Fleet.route("r-spec", "/spec/", "idempotent", 2_000, 2, "specdesk"),
                Fleet.route("r-crew", "/crew/", "idempotent", 2_000, 2, "jobbook")),
                List.of("specdesk", "jobbook")), 15);
        for (Fleet.Machine missing : fleet.awaitReady(6)) {
            fleet.log("set-up: " + missing.name + " did not become ready within 6 s; it is killed and started again");
            missing.kill();
            missing.process.waitFor();
            missing.start();
        }
        if (!fleet.awaitReady(6).isEmpty()) {
            throw new IllegalStateException("not all nodes became ready");
        }
        // Longer than the connectivity window: all machines are in touch from here to the end.
        Thread.sleep(5_000);
        fleet.log("start of the traffic");
        Random random = new Random(37);
        double end = fleet.now() + TRAFFIC_S;
        while (fleet.now() < end) {
            for (Fleet.Machine node : fleet.nodes) {
                int leavesAfterMs =
                        trouble && random.nextDouble() < LEAVING_SHARE ? 1 + random.nextInt(LEAVES_WITHIN_MS) : 0;
                Thread.ofVirtual().start(() -> request(fleet, node, leavesAfterMs));
            }
            Thread.sleep(150);
        }
        Thread.sleep(5_500);
        return judge(fleet);
    }

    /** Sends a request on a new connection; the client closes it after the given time, unless that is zero. */
    private static void request(Fleet fleet, Fleet.Machine node, int leavesAfterMs) {
        String id = String.format("%016x", 0x9c41d07be0000000L + IDS.incrementAndGet());
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, Fleet.CALLERS), 1_000);
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            head.writeBytes(("GET /spec/2f HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Remaining-Ms: 5000\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(head.toByteArray());
            fleet.log("sent " + id + " to " + node.name);
            if (leavesAfterMs > 0) {
                Thread.sleep(leavesAfterMs);
                fleet.log("client leaves " + id);
                return;
            }
            int status = Fleet.Http.read(socket, System.nanoTime() + 5_000_000_000L).status();
            fleet.log("answered " + id + " with " + status);
        } catch (IOException e) {
            fleet.log("answered " + id + " with nothing: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * LOST: a machine in touch passes a request from a kept connection on to a sound instance and closes that connection
     * without an answer, more than three times.
     */
    private static int judge(Fleet fleet) {
        Set<String> ran = new HashSet<>();
        Set<String> cut = new HashSet<>();
        for (String line : fleet.lines()) {
            Matcher run = RUN.matcher(line);
            if (run.find()) {
                ran.add(run.group(1));
            }
            Matcher closed = CUT.matcher(line);
            if (closed.find()) {
                cut.add(closed.group(1));
            }
        }
        int before = cut.size();
        cut.retainAll(ran);
        String result = before + " requests from kept connections ended with a closed connection and no answer; " + cut.size()
                + " of them had been passed on to an instance";
        fleet.log("result: " + result);
        System.out.println(result);
        return cut.size() > 3 ? 1 : 0;
    }
}
