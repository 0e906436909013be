import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Kills one control process shortly after the first start of a deployment, and looks whether any request is served. */
final class FirstStartCase {
    private static final long KILL_AFTER_MS = 250;
    private static final long DOWN_MS = 500;
    /** The bounds catch_up (4 s), recovery (15 s) and ack (4 s) end long before this. */
    private static final double TRAFFIC_S = 40;

    private static final AtomicLong IDS = new AtomicLong();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        Fleet fleet = new Fleet(6, 2);
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
            fleet.addNode("side-" + i, "zone-" + i % 3, "specdesk");
        }
        Fleet.Machine killed = fleet.controls.getFirst();
        double startedAt = fleet.now();
        fleet.startAll();
        fleet.log("all processes were started within " + Math.round(1_000 * (fleet.now() - startedAt)) + " ms");
        for (Fleet.Machine node : fleet.nodes) {
            new Instance(fleet, node, 30);
        }
        if (trouble) {
            Thread.sleep(KILL_AFTER_MS);
            killed.kill();
            killed.process.waitFor();
            fleet.log("killed " + killed.name);
            Thread.sleep(DOWN_MS);
            killed.start();
            fleet.log("started " + killed.name + " again, with its disk and with bootstrap = false");
        }
        // Traffic starts 13 s after the machines do; the first configuration is sent before that, until it is accepted.
        Thread operator = Thread.ofVirtual().start(() -> sendConfiguration(fleet));
        Thread.sleep(Math.max(0, (long) (1_000 * (startedAt + 13 - fleet.now()))));
        fleet.log("start of the traffic");
        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        double end = fleet.now() + TRAFFIC_S;
        while (fleet.now() < end) {
            for (Fleet.Machine node : fleet.nodes) {
                clients.add(Thread.ofVirtual().start(() -> request(fleet, node, sent, served)));
            }
            Thread.sleep(250);
        }
        for (Thread client : clients) {
            client.join();
        }
        operator.interrupt();
        String result = served + " of " + sent + " requests were served in " + (int) TRAFFIC_S + " s";
        fleet.log("result: " + result);
        System.out.println(result);
        return served.get() == 0 ? 1 : 0;
    }

    private static void sendConfiguration(Fleet fleet) {
        try {
            fleet.configure(0, Fleet.configuration(1,
                    List.of(Fleet.route("r-spec", "/spec/", "idempotent", 800, 2, "specdesk")), List.of("specdesk")), 90);
        } catch (InterruptedException | IllegalStateException e) {
            fleet.log("operator: the first configuration was never acknowledged");
        }
    }

    private static void request(Fleet fleet, Fleet.Machine node, AtomicInteger sent, AtomicInteger served) {
        String id = String.format("%016x", 0x9c41d07be0000000L + IDS.incrementAndGet());
        sent.incrementAndGet();
        fleet.log("sent " + id + " to " + node.name);
        String outcome;
        try {
            int status = Fleet.Http.call(node.ip, Fleet.CALLERS, "GET", "/spec/2f",
                    Map.of("Host", Fleet.HOST, "X-Attempt-Id", id, "X-Deadline-Remaining-Ms", "5000"), null, 5_000).status();
            served.addAndGet(status == 200 ? 1 : 0);
            outcome = Integer.toString(status);
        } catch (IOException e) {
            outcome = e.toString();
        }
        fleet.log("answered " + id + " by " + node.name + " with " + outcome);
    }
}
