import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Whether an acknowledged configuration can be read back when four of six core machines are replaced by empty ones at
 * other addresses, two at a time, the second two when the successors of the first two had the time to catch up.
 *
 * <p>Arguments: the case folder, and 0 if no machine must be replaced.
 */
final class CoreSwaps {
    /** The successor of a machine has a number that is higher by 6. */
    private static final int[] FIRST_HOSTS = {11, 12, 13, 14, 15, 16};
    private static final int[] LAST_HOSTS = {15, 16, 17, 18, 19, 20};
    private static final long CATCH_UP_MS = 4_000;
    private static final long RECOVERY_MS = 15_000;
    private static final long CONNECTIVITY_WINDOW_MS = 3_000;
    private static final long VERSION = 9;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !arguments[1].equals("0");
        boolean readBack;
        try (Mesh mesh = new Mesh(Path.of(arguments[0]))) {
            mesh.seeds(11, 12, 13);
            for (int host : FIRST_HOSTS) {
                mesh.start("control", host, "z" + host, "", true);
            }
            List<Object> routes = List.of(
                    Mesh.route("r-job", "job.example", "/job/", "non_idempotent", 800, 0, 2, "jobbook"));
            mesh.await("the first configuration is accepted", 20_000,
                    () -> mesh.replace(11, 0, 5, routes, "jobbook") == 200);
            Thread.sleep(10_000);
            if (trouble) {
                replace(mesh, 11, 12);
                Thread.sleep(CATCH_UP_MS + 1_000);
                mesh.record("the successors had catch_up: no machine counts as lost");
            }
            mesh.await("a change is acknowledged", 10_000, () -> mesh.replace(15, 5, VERSION, routes, "jobbook") == 200);
            if (trouble) {
                replace(mesh, 13, 14);
            }
            Thread.sleep(RECOVERY_MS);
            readBack = readBack(mesh, trouble ? LAST_HOSTS : FIRST_HOSTS);
            mesh.record(readBack ? "the configuration was read back" : "CONFIG: the configuration was not read back");
        }
        System.out.println(readBack ? "the acknowledged configuration was read back"
                : "the acknowledged configuration was not read back");
        System.exit(readBack ? 0 : 1);
    }

    /** Asks every host again and again for at least the connectivity window, as the operator does at a day's end. */
    private static boolean readBack(Mesh mesh, int[] hosts) throws InterruptedException {
        long end = Mesh.now() + 2 * CONNECTIVITY_WINDOW_MS;
        while (Mesh.now() < end) {
            for (int host : hosts) {
                try {
                    Mesh.Answer answer = Mesh.call(mesh.ip(host), Mesh.CONTROL_PORT, "GET", "/api/config/read",
                            List.of("Host: " + mesh.ip(host)), new byte[0], 1_000);
                    long version = answer.status == 200 ? version(answer.body) : 0;
                    mesh.record("operator: read at control-%d: %d, version %d %s", host, answer.status, version,
                            answer.status == 200 ? "" : answer.text().trim());
                    if (version == VERSION) {
                        return true;
                    }
                } catch (IOException e) {
                    mesh.record("operator: read at control-%d: %s", host, e.getMessage());
                }
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the version in a configuration that {@link Mesh#replace} has sent. */
    private static long version(byte[] document) {
        byte[] start = Mesh.pack(Mesh.map("version", VERSION));
        for (int i = 0; i < start.length; i++) {
            // The map has more entries than the one that it is compared with.
            if (i > 4 && document[i] != start[i]) {
                return -1;
            }
        }
        return VERSION;
    }

    /** Ends two core machines for good, and starts an empty one for each at another address a second later. */
    private static void replace(Mesh mesh, int... hosts) throws IOException, InterruptedException {
        for (int host : hosts) {
            mesh.signal("control-" + host, "KILL");
        }
        mesh.record("core machines %d and %d are gone for good", hosts[0], hosts[1]);
        Thread.sleep(1_000);
        mesh.seeds(15, 16, 17);
        for (int host : hosts) {
            mesh.start("control", host + 6, "z" + host, "", false);
        }
    }
}
