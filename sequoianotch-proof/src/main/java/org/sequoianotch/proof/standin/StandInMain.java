package org.sequoianotch.proof.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.settings.IniFile;
import org.sequoianotch.settings.SettingsProblem;
import org.sequoianotch.settings.ValueKind;

/**
 * Runs the stand-in backend servers of an INI file in one process until the process is stopped.
 *
 * <p>Each section {@code [standin NAME]} has the keys {@code service}, {@code listen}, {@code node}, {@code slots},
 * {@code work_ms} and {@code calls}.
 */
public final class StandInMain {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int INVALID_SETTINGS_EXIT_CODE = 3;

    private StandInMain() {}

    /**
     * Starts the stand-ins; exits with 3 if the file cannot be read.
     *
     * @param arguments the path of the INI file; not null
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        Either<List<SettingsProblem>, IniFile> file = IniFile.read(Path.of(arguments[0]));
        if (file.isLeft()) {
            file.getLeft().forEach(System.err::println);
            System.exit(INVALID_SETTINGS_EXIT_CODE);
        }
        EventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
        List<StandIn> standIns = new ArrayList<>();
        for (Map.Entry<String, Map<String, String>> section :
                file.get().sections().entrySet()) {
            StandInOptions options = parseOptions(section.getValue());
            standIns.add(new StandIn(
                    options, eventLoops, () -> ThreadLocalRandom.current().nextLong()));
        }
        System.out.println("Started " + standIns.size() + " stand-in backend servers.");
        new CountDownLatch(1).await();
    }

    private static StandInOptions parseOptions(Map<String, String> values) {
        List<DownstreamCall> calls = ValueKind.items(values.getOrDefault("calls", "")).stream()
                .map(DownstreamCall::parse)
                .toList();
        return new StandInOptions(
                ServiceName.of(values.getOrDefault("service", "")),
                parseAddressSetting(values, "listen"),
                parseAddressSetting(values, "node"),
                Integer.parseInt(values.getOrDefault("slots", "50")),
                Double.parseDouble(values.getOrDefault("work_ms", "2")),
                calls);
    }

    private static InetSocketAddress parseAddressSetting(Map<String, String> values, String key) {
        String text = values.getOrDefault(key, "");
        return ValueKind.parseAddress(text)
                .orElseThrow(() ->
                        new IllegalArgumentException(key + " must be an address HOST:PORT, but got \"" + text + "\""));
    }
}
