package org.sequoianotch.membership;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.Region;
import org.sequoianotch.model.ServiceName;

/**
 * Guards against messages of another writer that end a task of the membership: a corrupt message must be reported by
 * the documented exception, whichever of its bytes differ.
 */
final class MalformedMessageTest {
    private static final HostId HOST = HostId.of("host-1");
    private static final DataCentre DC = DataCentre.of("dc-1");
    private static final Region REGION = Region.of("r-1");
    private static final Member MEMBER = new Member(
            HOST,
            DC,
            REGION,
            "127.0.0.1:7000",
            3,
            4,
            MemberState.ALIVE,
            5,
            List.of(new Instance(
                    ServiceName.of("pay1"), HOST, DC, REGION, "127.0.0.1:7000", 20, BackendState.SERVING, 6)),
            7);
    private static final List<byte[]> MEMBERS = List.of(MemberCodec.encode(MEMBER), MemberCodec.encode(MEMBER));
    private static final byte[] REQUEST = ExchangeCodec.encode(new ExchangeCodec.Request(
            8, true, new TreeMap<>(Collections.singletonMap(DC, 9L)), MEMBERS, List.of(HOST)));
    private static final byte[] RESPONSE = ExchangeCodec.encode(new ExchangeCodec.Response(8, versions(), MEMBERS));

    private static SortedMap<DataCentre, List<ExchangeCodec.Version>> versions() {
        return new TreeMap<>(Collections.singletonMap(DC, List.of(ExchangeCodec.Version.of(MEMBER))));
    }

    @Property(tries = 5_000, seed = "20261205")
    void corruptRequestIsDecodedOrReported(@ForAll int position, @ForAll byte first, @ForAll byte second) {
        decodeOrReport(() -> ExchangeCodec.decodeRequest(corrupt(REQUEST, position, first, second)));
    }

    @Property(tries = 5_000, seed = "20261205")
    void corruptResponseIsDecodedOrReported(@ForAll int position, @ForAll byte first, @ForAll byte second) {
        decodeOrReport(() -> ExchangeCodec.decodeResponse(corrupt(RESPONSE, position, first, second)));
    }

    @Property(tries = 2_000, seed = "20261205")
    void randomBytesAreReported(@ForAll byte[] bytes) {
        decodeOrReport(() -> ExchangeCodec.decodeRequest(bytes));
        decodeOrReport(() -> ExchangeCodec.decodeResponse(bytes));
        decodeOrReport(() -> new DatagramCodec("key").decode(bytes));
    }

    private static byte[] corrupt(byte[] message, int position, byte first, byte second) {
        byte[] corrupt = message.clone();
        corrupt[Math.floorMod(position, corrupt.length)] = first;
        corrupt[Math.floorMod(position + 1, corrupt.length)] = second;
        return corrupt;
    }

    private static void decodeOrReport(Runnable decode) {
        try {
            decode.run();
        } catch (IllegalArgumentException e) {
            // The documented report of a malformed message.
        }
    }
}
