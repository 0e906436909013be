import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An instance leaves, then every machine loses power at once, and a heartbeat from before arrives late. */
final class ForgottenCase {
    /** The bounds drain and connectivity_window. */
    private static final double DRAIN_S = 2.5;
    private static final double WINDOW_S = 3.0;
    private static final long DOWN_MS = 700;
    /** The heartbeat was sent just before the instance left. */
    private static final double LATE_BEAT_S = 3.5;
    /** The instance goes on to serve for this long, "at times many seconds". */
    private static final double SERVES_S = 12;

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
            fleet.addNode("side-" + i, "zone-" + i % 3, i < 3 ? "specdesk" : "jobbook");
        }
        fleet.startAll();
        List<Instance> instances = new ArrayList<>();
        for (Fleet.Machine node : fleet.nodes) {
            instances.add(new Instance(fleet, node, 100));
        }
        fleet.configure(0, Fleet.configuration(1, List.of(
                Fleet.route("r-spec", "/spec/", "idempotent", 800, 2, "specdesk"),
                Fleet.route("r-job", "/job/", "non_idempotent", 800, 1, "jobbook")),
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
        Thread.sleep(5_000);
        Instance leaving = instances.getLast();
        byte[] lateBeat = leaving.nextBeat();
        fleet.log("instance " + leaving.id + " of jobbook at " + leaving.machine.name + " sends a heartbeat that will be late");
        if (!leaving.deregister()) {
            throw new IllegalStateException("the deregistration was not acknowledged");
        }
        double leftAt = fleet.now();
        fleet.log("the deregistration of " + leaving.id + " is acknowledged");
        double inTouchAt = leftAt;
        if (trouble) {
            Thread.sleep(200);
            List<Fleet.Machine> all = new ArrayList<>(fleet.controls);
            all.addAll(fleet.nodes);
            all.forEach(Fleet.Machine::kill);
            for (Fleet.Machine machine : all) {
                machine.process.waitFor();
            }
            fleet.log("all processes are killed at once");
            Thread.sleep(DOWN_MS);
            for (Fleet.Machine machine : all) {
                machine.start();
            }
            fleet.log("all processes are started again");
            inTouchAt = fleet.now() + WINDOW_S;
        }
        sleepUntil(fleet, leftAt + LATE_BEAT_S);
        boolean taken = leaving.send(lateBeat);
        fleet.log("the late heartbeat of " + leaving.id + " arrives: " + (taken ? "2xx" : "not acknowledged"));
        double countedFrom = Math.max(leftAt + DRAIN_S, inTouchAt);
        while (fleet.now() < leftAt + SERVES_S) {
            if (fleet.now() > countedFrom) {
                for (Fleet.Machine node : fleet.nodes) {
                    Thread.ofVirtual().start(() -> book(fleet, node));
                }
            }
            Thread.sleep(100);
        }
        fleet.log("the instance " + leaving.id + " exits");
        Thread.sleep(1_500);
        Pattern run = Pattern.compile("^ *([0-9.]+) run \\S+ at " + leaving.id + " ");
        int late = 0;
        for (String line : fleet.lines()) {
            Matcher matcher = run.matcher(line);
            if (matcher.find() && Double.parseDouble(matcher.group(1)) > countedFrom) {
                late++;
            }
        }
        String result = late + " bookings reached the instance later than drain after the acknowledgement, all machines in touch";
        fleet.log("result: " + result);
        System.out.println(result);
        return late > 0 ? 1 : 0;
    }

    private static void sleepUntil(Fleet fleet, double at) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) (1_000 * (at - fleet.now()))));
    }

    private static void book(Fleet fleet, Fleet.Machine node) {
        String id = String.format("%016x", 0x9c41d07be0000000L + IDS.incrementAndGet());
        fleet.log("sent " + id + " to " + node.name);
        String outcome;
        try {
            outcome = Integer.toString(Fleet.Http.call(node.ip, Fleet.CALLERS, "POST", "/job/2f",
                    Map.of("Host", Fleet.HOST, "X-Attempt-Id", id, "X-Deadline-Remaining-Ms", "5000"), new byte[40], 5_000).status());
        } catch (IOException e) {
            outcome = e.toString();
        }
        fleet.log("answered " + id + " by " + node.name + " with " + outcome);
    }
}
