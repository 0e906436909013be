import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Two control hosts lose their disks right after the first configuration was acknowledged; it is read back later. */
final class FirstAckCase {
    private static final long DOWN_MS = 1_500;
    /** The bound recovery, from the return of the machines. */
    private static final double RECOVERY_S = 15;
    /** How long the operator reads after that; the pages ask for connectivity_window, 3 s, at least. */
    private static final double READING_S = 30;

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
        byte[] configuration = Fleet.configuration(1,
                List.of(Fleet.route("r-spec", "/spec/", "idempotent", 800, 2, "specdesk")), List.of("specdesk"));
        fleet.startAll();
        fleet.log("the first start of six control hosts; the operator sends the first configuration until it is accepted");
        Fleet.Machine acknowledged = sendFirst(fleet, configuration);
        if (trouble) {
            // The machine that acknowledged, and one more of the operator's list.
            Fleet.Machine other = fleet.controls.get(fleet.controls.indexOf(acknowledged) == 0 ? 1 : 0);
            List<Fleet.Machine> lost = List.of(acknowledged, other);
            lost.forEach(Fleet.Machine::kill);
            for (Fleet.Machine machine : lost) {
                machine.process.waitFor();
                wipe(fleet.folder.resolve(machine.name + ".data"));
                fleet.log(machine.name + " has lost power and its disk");
            }
            Thread.sleep(DOWN_MS);
            for (Fleet.Machine machine : lost) {
                machine.start();
                fleet.log(machine.name + " is back with an empty disk and bootstrap = false");
            }
        }
        double backAt = fleet.now();
        boolean readBack = false;
        int reads = 0;
        int good = 0;
        while (fleet.now() < backAt + RECOVERY_S + READING_S) {
            for (Fleet.Machine control : fleet.controls) {
                String answer = read(control, configuration);
                fleet.log("read at " + control.name + ": " + answer);
                if (fleet.now() > backAt + RECOVERY_S) {
                    reads++;
                    good += answer.equals("what was sent") ? 1 : 0;
                    readBack |= answer.equals("what was sent");
                }
            }
            Thread.sleep(1_000);
        }
        String result = good + " of " + reads + " reads later than " + (int) RECOVERY_S
                + " s after all machines were back gave the acknowledged configuration";
        fleet.log("result: " + result);
        System.out.println(result);
        return readBack ? 0 : 1;
    }

    /** Sends the first configuration to the hosts of the operator's list, in turn. */
    private static Fleet.Machine sendFirst(Fleet fleet, byte[] configuration) throws InterruptedException {
        double end = fleet.now() + 30;
        while (fleet.now() < end) {
            for (Fleet.Machine control : fleet.controls.subList(0, 3)) {
                try {
                    int status = Fleet.Http.call(control.ip, Fleet.CONTROL, "POST", "/api/config/replace",
                            Map.of("X-Base-Version", "0", "Content-Type", "application/msgpack"), configuration, 1_000).status();
                    fleet.log("operator: " + control.name + " answered " + status);
                    if (status == 200) {
                        return control;
                    }
                } catch (IOException e) {
                    fleet.log("operator: " + control.name + " did not answer: " + e);
                }
                Thread.sleep(50);
            }
        }
        throw new IllegalStateException("the first configuration was not acknowledged");
    }

    private static String read(Fleet.Machine control, byte[] configuration) {
        try {
            Fleet.Http.Answer answer =
                    Fleet.Http.call(control.ip, Fleet.CONTROL, "GET", "/api/config/read", Map.of(), null, 1_000);
            if (answer.status() != 200) {
                return Integer.toString(answer.status());
            }
            return Arrays.equals(answer.body(), configuration) ? "what was sent" : "another configuration";
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static void wipe(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        }
    }
}
