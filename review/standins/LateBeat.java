import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Whether an instance that has left gets requests later than the drain time after the acknowledgement, when the node
 * beside it is killed and started again and a heartbeat from before arrives late.
 *
 * <p>Arguments: the case folder, and 0 if the node must not be killed.
 */
final class LateBeat {
    private static final long DRAIN_MS = 2_500;
    private static final long CONNECTIVITY_WINDOW_MS = 3_000;
    private static final long LATE_MS = 2_500;
    private static final long STAYS_MS = 10_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !arguments[1].equals("0");
        AtomicLong acknowledgedAt = new AtomicLong(Long.MAX_VALUE / 2);
        AtomicLong inTouchAt = new AtomicLong();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        try (Mesh mesh = new Mesh(Path.of(arguments[0]))) {
            mesh.seeds(11, 12, 13);
            for (int host = 11; host <= 15; host++) {
                mesh.start("control", host, "z" + (host - 10), "", true);
            }
            mesh.start("node", 21, "z1", "shop", true);
            mesh.start("node", 22, "z1", "jobbook", true);
            mesh.start("node", 23, "z1", "jobbook", true);
            mesh.startStandIn("instance-23", "Instance", mesh.ip(23), Integer.toString(Mesh.BACKEND_PORT), "jobbook",
                    "i-23", "62", "120", "1500", "length");
            Leaver leaver = new Leaver(mesh, acknowledgedAt, inTouchAt, late);
            Thread.ofPlatform().daemon().start(leaver::serve);
            List<Object> routes = List.of(
                    Mesh.route("r-job", "job.example", "/job/", "non_idempotent", 800, 0, 2, "jobbook"));
            mesh.await("the first configuration is accepted", 20_000,
                    () -> mesh.replace(11, 0, 5, routes, "jobbook", "shop") == 200);
            for (int host = 21; host <= 23; host++) {
                int ready = host;
                mesh.await("node " + host + " is ready", 10_000, () -> mesh.isReady(ready));
            }
            mesh.await("a first request is served", 10_000, () -> request(mesh, "0000000000000fff") == 200);
            Thread traffic = Thread.ofPlatform().daemon().start(() -> send(mesh, served));
            Thread.sleep(5_000);
            // The last heartbeat of the instance is under way while it leaves.
            int lateSequence = leaver.sequence + 1;
            leaver.leaving = true;
            mesh.record("the instance sends heartbeat %d, which will arrive late", lateSequence);
            Thread.sleep(300);
            int status = Instance.tell(mesh.ip(22), "i-22", "deregister", Mesh.pack(Mesh.map("born", leaver.born)));
            acknowledgedAt.set(Mesh.now());
            mesh.record("deregistration of i-22: %d", status);
            if (trouble) {
                Thread.sleep(200);
                mesh.signal("node-22", "KILL");
                mesh.awaitEnd("node-22", 2_000);
                Thread.sleep(500);
                mesh.start("node", 22, "z1", "jobbook", false);
                mesh.await("node 22 is ready again", 10_000, () -> mesh.isReady(22));
                inTouchAt.set(Mesh.now() + CONNECTIVITY_WINDOW_MS);
            }
            Thread.sleep(Math.max(0, acknowledgedAt.get() + LATE_MS - Mesh.now()));
            status = Instance.tell(mesh.ip(22), "i-22", "heartbeat",
                    Instance.beatBody(mesh.ip(22), "jobbook", 62, lateSequence, leaver.born));
            mesh.record("late heartbeat %d arrives: %d", lateSequence, status);
            Thread.sleep(Math.max(0, acknowledgedAt.get() + STAYS_MS - Mesh.now()));
            mesh.record("%d requests served; %d reached the instance over %d ms after the acknowledgement, with all"
                    + " machines in touch", served.get(), late.get(), DRAIN_MS);
        }
        System.out.println(late.get() + " requests reached the instance that had left; " + served.get() + " served");
        System.exit(late.get() > 0 ? 1 : served.get() < 100 ? 2 : 0);
    }

    /** The instance that leaves, run in this process. */
    private static final class Leaver extends Instance {
        private final Mesh mesh;
        private final AtomicLong acknowledgedAt;
        private final AtomicLong inTouchAt;
        private final AtomicInteger late;
        final long born = System.currentTimeMillis();
        volatile int sequence;
        volatile boolean leaving;

        Leaver(Mesh mesh, AtomicLong acknowledgedAt, AtomicLong inTouchAt, AtomicInteger late) {
            super(mesh.ip(22), Integer.toString(Mesh.BACKEND_PORT), "jobbook", "i-22", "62", "120", "1500", "length");
            this.mesh = mesh;
            this.acknowledgedAt = acknowledgedAt;
            this.inTouchAt = inTouchAt;
            this.late = late;
        }

        void serve() {
            try {
                run();
            } catch (IOException e) {
                mesh.record("the instance failed: %s", e);
            }
        }

        @Override
        void beat() {
            while (!leaving) {
                try {
                    sequence++;
                    tell(mesh.ip(22), "i-22", "heartbeat", beatBody(mesh.ip(22), "jobbook", 62, sequence, born));
                } catch (IOException e) {
                    mesh.record("heartbeat failed: %s", e);
                }
                pause(1_500);
            }
        }

        @Override
        void log(String line) {}

        @Override
        void ran(String attempt) {
            long now = Mesh.now();
            boolean isLate = now > acknowledgedAt.get() + DRAIN_MS && now > inTouchAt.get();
            mesh.record("i-22 runs %s%s", attempt, isLate ? "  DRAIN: " + (now - acknowledgedAt.get())
                    + " ms after the acknowledgement" : "");
            late.addAndGet(isLate ? 1 : 0);
        }
    }

    private static void send(Mesh mesh, AtomicInteger served) {
        for (int i = 0; ; i++) {
            String id = String.format("%016x", 0xb000 + i);
            Thread.ofVirtual().start(() -> {
                try {
                    served.addAndGet(request(mesh, id) == 200 ? 1 : 0);
                } catch (IOException e) {
                    mesh.record("client %s: %s", id, e);
                }
            });
            Instance.pause(50);
        }
    }

    private static int request(Mesh mesh, String id) throws IOException {
        Mesh.Answer answer = Mesh.call(mesh.ip(21), Mesh.CALLER_PORT, "POST", "/job/" + id,
                List.of("Host: job.example", "X-Attempt-Id: " + id, "X-Deadline-Remaining-Ms: 5000"), new byte[400],
                6_000);
        mesh.record("client %s: %d", id, answer.status);
        return answer.status;
    }
}
