import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Whether a client can get a part of an answer as if it were the whole one, when the connections between a node and its
 * instance go silent while the instance sends answers without a length.
 *
 * <p>Arguments: the case folder, and 0 if the connections must not go silent.
 */
final class CutAnswer {
    private static final int[] CLIENT_HOSTS = {21, 23, 24, 25};
    private static final int ROUNDS = 5;
    private static final int REQUESTS = 60;
    private static final int INSTANCE_PORT = 18399;
    private static final int BODY_BYTES = 6_000;
    private static final int WORK_MS = 240;
    /** The connections go silent when the last requests have got some pieces of their answers. */
    private static final long SILENT_AFTER_MS = 60;
    private static final long PAUSE_MS = 3_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !arguments[1].equals("0");
        int broken = 0;
        int served = 0;
        try (Mesh mesh = new Mesh(Path.of(arguments[0]))) {
            mesh.seeds(11, 12, 13);
            for (int host = 11; host <= 15; host++) {
                mesh.start("control", host, "z" + (host - 10), "", true);
            }
            for (int host : CLIENT_HOSTS) {
                mesh.start("node", host, "z1", "shop", true);
            }
            mesh.start("node", 22, "z2", "specdesk", true);
            Proxy proxy = new Proxy(mesh.ip(22), Mesh.BACKEND_PORT, INSTANCE_PORT);
            mesh.startStandIn("instance-22", "Instance", mesh.ip(22), Integer.toString(INSTANCE_PORT), "specdesk", "i-22", "62",
                    Integer.toString(WORK_MS), Integer.toString(BODY_BYTES), "unframed");
            List<Object> routes = List.of(
                    Mesh.route("r-spec", "spec.example", "/spec/", "idempotent", 800, 2, 2, "specdesk"));
            mesh.await("the first configuration is accepted", 20_000,
                    () -> mesh.replace(11, 0, 5, routes, "specdesk", "shop") == 200);
            for (int host : CLIENT_HOSTS) {
                mesh.await("node " + host + " is ready", 10_000, () -> mesh.isReady(host));
                mesh.await("a first request at node " + host + " is served", 10_000,
                        () -> request(mesh, host, String.format("%016x", host)).status == 200);
            }
            Thread.sleep(4_000);
            ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
            for (int round = 0; round < ROUNDS; round++) {
                List<Future<Mesh.Answer>> answers = new ArrayList<>();
                for (int i = 0; i < REQUESTS; i++) {
                    String id = id(round, i);
                    int host = CLIENT_HOSTS[i % CLIENT_HOSTS.length];
                    answers.add(clients.submit(() -> request(mesh, host, id)));
                    Thread.sleep(2);
                }
                Thread.sleep(SILENT_AFTER_MS);
                if (trouble) {
                    mesh.record("the %d open connections to the instance go silent", proxy.silence());
                }
                Thread.sleep(PAUSE_MS);
                for (int i = 0; i < REQUESTS; i++) {
                    Mesh.Answer answer = answers.get(i).get();
                    boolean success = answer.status >= 200 && answer.status < 300 && answer.complete;
                    boolean whole = answer.text().equals(Instance.body(id(round, i), BODY_BYTES));
                    boolean wrong = success && !whole;
                    mesh.record("client %s: status %d after %d ms, signature %s, %d of %d bytes, %s%s", id(round, i),
                            answer.status, answer.tookMs, answer.headers.get("x-response-signature"), answer.body.length, BODY_BYTES, answer.end,
                            wrong ? "  MIXED: a part of the answer as a complete success" : "");
                    broken += wrong ? 1 : 0;
                    served += success && whole ? 1 : 0;
                }
            }
            mesh.record("instance's log:%n%s", Files.readString(mesh.log("instance-22")));
            mesh.record("%d requests, %d whole answers, %d partial answers that look complete",
                    ROUNDS * REQUESTS, served, broken);
        }
        System.out.println(served + " of " + ROUNDS * REQUESTS + " whole answers, " + broken
                + " partial answers that look complete");
        System.exit(broken > 0 ? 1 : !trouble && served < ROUNDS * REQUESTS ? 2 : 0);
    }

    private static String id(int round, int number) {
        return String.format("%016x", 0xa000 + round * 256 + number);
    }

    private static Mesh.Answer request(Mesh mesh, int host, String id) throws java.io.IOException {
        return Mesh.call(mesh.ip(host), Mesh.CALLER_PORT, "GET", "/spec/" + id,
                List.of("Host: spec.example", "X-Attempt-Id: " + id, "X-Deadline-Remaining-Ms: 5000"), new byte[0],
                6_000);
    }
}
