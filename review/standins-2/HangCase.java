import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Kills six in ten of the nodes at the same moment, again and again, and watches the requests at the nodes that are in
 * touch. Once a node has hung, the next herd contains the other nodes of its zone, so that its clients get work.
 */
final class HangCase {
    private static final int ZONES = 2;
    private static final int NODES_PER_ZONE = 18;
    private static final double HERD_SHARE = 0.6;
    private static final long TIMEOUT_MS = 2_000;
    private static final double LATE_S = TIMEOUT_MS / 1_000.0 + 0.5;
    /** The bound connectivity_window. */
    private static final double WINDOW_S = 3.0;
    /** A start takes less than a second; a process that has not been ready for this long is taken for hung. */
    private static final double HUNG_S = 6.0;

    private static final AtomicLong IDS = new AtomicLong();

    private record Request(Fleet.Machine machine, double sentAt, double endedAt, boolean inTouch) {}

    private final Fleet fleet;
    private final Map<Fleet.Machine, Integer> misses = new ConcurrentHashMap<>();
    private final Map<Fleet.Machine, Double> readyAt = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Request> requests = new ConcurrentLinkedQueue<>();
    /** Nodes that were found hung; only their requests count as held, so that a busy test machine does not matter. */
    private final Set<Fleet.Machine> everHung = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;

    private HangCase(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        double seconds = Double.parseDouble(System.getenv().getOrDefault("SECONDS_OF_TRAFFIC", "66"));
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
            code = new HangCase(fleet).run(trouble, seconds);
        } catch (IllegalStateException | IOException e) {
            fleet.log("the case could not run: " + e);
            System.err.println("the case could not run: " + e);
        }
        fleet.writeRecord(Path.of(arguments[0]));
        System.exit(code);
    }

    private int run(boolean trouble, double seconds) throws Exception {
        for (int i = 0; i < ZONES * NODES_PER_ZONE; i++) {
            fleet.addNode("side-" + i, "zone-" + i % ZONES, i / ZONES % 2 == 0 ? "specdesk" : "jobbook");
        }
        fleet.startAll();
        for (Fleet.Machine node : fleet.nodes) {
            new Instance(fleet, node, 30);
        }
        fleet.configure(0, Fleet.configuration(1, List.of(
                Fleet.route("r-spec", "/spec/", "idempotent", TIMEOUT_MS, 2, "specdesk"),
                Fleet.route("r-job", "/job/", "non_idempotent", TIMEOUT_MS, 1, "jobbook")),
                List.of("specdesk", "jobbook")), 15);
        for (Fleet.Machine missing : fleet.awaitReady(9)) {
            fleet.log("set-up: " + missing.name + " did not become ready within 9 s; it is killed and started again");
            missing.kill();
            missing.process.waitFor();
            missing.start();
        }
        if (!fleet.awaitReady(8).isEmpty()) {
            throw new IllegalStateException("not all nodes became ready");
        }
        Thread.sleep(4_000);
        fleet.log("start of the traffic");
        for (Fleet.Machine node : fleet.nodes) {
            misses.put(node, 0);
            readyAt.put(node, fleet.now());
        }
        for (Fleet.Machine node : fleet.nodes) {
            Thread.ofVirtual().start(() -> watch(node));
            Thread.ofVirtual().start(() -> send(node));
        }
        Random random = new Random(36);
        double end = fleet.now() + seconds;
        int starts = 0;
        while (fleet.now() < end) {
            Thread.sleep(300);
            if (trouble) {
                starts += herd(random);
            }
            // The killed nodes are back, and become ready.
            Thread.sleep(900);
            everHung.addAll(hung());
            if (broken(count())) {
                break;
            }
        }
        // Nodes that have hung in the last seconds are found as well.
        Thread.sleep((long) (1_000 * HUNG_S) + 500);
        everHung.addAll(hung());
        List<String> hung = names(hung());
        ended = true;
        Thread.sleep(5_500);
        int[] counted = count();
        Map<String, Integer> heldBy = new TreeMap<>();
        requests.stream().filter(this::isHeld).forEach(request -> heldBy.merge(request.machine().name, 1, Integer::sum));
        String result = starts + " processes were killed and started; the nodes " + hung
                + " hang; of " + requests.size() + " requests, " + counted[0] + " at machines in touch had no answer at the"
                + " route's timeout, and " + counted[1] + " of these none half a second later: " + heldBy;
        fleet.log("result: " + result);
        System.out.println(result);
        return broken(counted) ? 1 : 0;
    }

    private static List<String> names(List<Fleet.Machine> machines) {
        return machines.stream().map(machine -> machine.name).toList();
    }

    /** Returns the nodes whose process runs and was not touched by this test, but has not been ready for a long time. */
    private List<Fleet.Machine> hung() {
        return fleet.nodes.stream()
                .filter(node -> node.process.isAlive())
                .filter(node -> fleet.now() - Math.max(node.disturbedAt, readyAt.get(node)) > HUNG_S)
                .toList();
    }

    private int herd(Random random) throws Exception {
        List<Fleet.Machine> herd = new ArrayList<>(fleet.nodes);
        Collections.shuffle(herd, random);
        List<Fleet.Machine> hung = hung();
        everHung.addAll(hung);
        // A node that is not ready yet is spared, so that it can be told whether it hangs.
        herd.removeIf(node -> misses.get(node) >= 2);
        for (Fleet.Machine node : hung) {
            List<Fleet.Machine> zone = herd.stream().filter(other -> other.zone.equals(node.zone)).toList();
            fleet.log(node.name + " hangs: its process " + node.process.pid() + " runs for "
                    + (int) (fleet.now() - node.disturbedAt) + " s and does not answer");
            herd.removeAll(zone);
            herd.addAll(0, zone);
        }
        herd = new ArrayList<>(herd.subList(0, Math.min(herd.size(), (int) (HERD_SHARE * fleet.nodes.size()))));
        herd.forEach(Fleet.Machine::kill);
        for (Fleet.Machine node : herd) {
            node.process.waitFor();
        }
        fleet.log("killed at once: " + names(herd));
        // Down for as long as the site file has it (herd_kill, for_s = 2.0), if the zone of a hung node is concerned.
        Thread.sleep(hung.isEmpty() ? 300 : 2_000);
        for (Fleet.Machine node : herd) {
            node.start();
        }
        fleet.log("started: " + names(herd));
        return herd.size();
    }

    /** The platform asks each node once a second; a miss is another response than 200, or none. */
    private void watch(Fleet.Machine node) {
        while (!ended) {
            if (node.isReady()) {
                if (misses.get(node) >= 2) {
                    fleet.log("platform: " + node.name + " is ready again");
                }
                misses.put(node, 0);
                readyAt.put(node, fleet.now());
            } else if (misses.merge(node, 1, Integer::sum) == 2) {
                fleet.log("platform: " + node.name + " has missed two readiness checks");
            }
            pause(1_000);
        }
    }

    /** After two misses the clients of a machine get no work, unless fewer than half of the zone's nodes are in. */
    private boolean receivesClients(Fleet.Machine node) {
        long in = fleet.nodes.stream()
                .filter(other -> other.zone.equals(node.zone))
                .filter(other -> misses.get(other) < 2)
                .count();
        return misses.get(node) < 2 || in < NODES_PER_ZONE / 2.0;
    }

    private void send(Fleet.Machine node) {
        while (!ended) {
            if (receivesClients(node)) {
                Thread.ofVirtual().start(() -> request(node));
            }
            pause(80);
        }
    }

    private static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void request(Fleet.Machine node) {
        String id = String.format("%016x", 0x9c41d07be0000000L + IDS.incrementAndGet());
        double sentAt = fleet.now();
        double disturbedAt = node.disturbedAt;
        String outcome;
        double endedAt = Double.POSITIVE_INFINITY;
        fleet.log("sent " + id + " to " + node.name);
        try {
            int status = Fleet.Http.call(node.ip, Fleet.CALLERS, "GET", "/spec/2f",
                    Map.of("Host", Fleet.HOST, "X-Attempt-Id", id, "X-Deadline-Remaining-Ms", "5000"), null, 5_000).status();
            outcome = Integer.toString(status);
            endedAt = fleet.now();
        } catch (java.net.SocketTimeoutException e) {
            outcome = "nothing within 5 s";
        } catch (IOException e) {
            outcome = "a closed connection";
            endedAt = fleet.now();
        }
        fleet.log("answered " + id + " by " + node.name + " with " + outcome);
        boolean undisturbed = node.disturbedAt == disturbedAt || node.disturbedAt > sentAt + LATE_S;
        requests.add(new Request(node, sentAt, endedAt, sentAt > disturbedAt + WINDOW_S && undisturbed));
    }

    private boolean isHeld(Request request) {
        return everHung.contains(request.machine())
                && request.inTouch()
                && request.endedAt() > request.sentAt() + LATE_S;
    }

    /** Counts the requests at machines in touch without an answer at the timeout, and those without one 0.5 s later. */
    private int[] count() {
        int unanswered = 0;
        int held = 0;
        for (Request request : requests) {
            if (request.inTouch() && request.endedAt() > request.sentAt() + TIMEOUT_MS / 1_000.0) {
                unanswered++;
            }
            held += isHeld(request) ? 1 : 0;
        }
        return new int[] {unanswered, held};
    }

    /** CONFIG: more than half of the requests that are unanswered at the timeout; eight at least, so that it is no chance. */
    private static boolean broken(int[] counted) {
        return counted[1] >= 8 && 2 * counted[1] > counted[0];
    }
}
