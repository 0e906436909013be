package org.sequoianotch.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.model.HostId;

/**
 * Encodes and decodes datagrams: an authentication tag of 16 bytes of HMAC-SHA-256 under the deployment key, then a
 * MessagePack array.
 *
 * <p>This class is thread-safe.
 */
final class DatagramCodec {
    /** Largest datagram; below the smallest common MTU, so that no datagram is fragmented. */
    static final int MAX_BYTES = 1_200;

    static final int TAG_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    /** Domain separation from the proofs of the link handshake, which use the same key. */
    private static final byte[] CONTEXT = "sequoianotch datagram 1".getBytes(StandardCharsets.US_ASCII);

    private static final int FIELDS = 9;
    private static final int MAX_UPDATES = 100;

    private final Mac mac;

    DatagramCodec(String deploymentKey) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(deploymentKey.getBytes(StandardCharsets.UTF_8), ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA-256 is not available", e);
        }
    }

    /** Returns an upper bound of the datagram's length without updates, including the longest list header. */
    static int overheadBytes(Datagram header) {
        int stringBytes = header.from().name().length()
                + header.fromAddress().length()
                + header.target().name().length()
                + header.targetAddress().length();
        int integerBytes = 4 * Long.BYTES;
        int headerBytes = 20;
        return TAG_BYTES + stringBytes + integerBytes + headerBytes;
    }

    byte[] encode(Datagram header, List<byte[]> updates) {
        try (MessageBufferPacker packer = MemberCodec.newPacker()) {
            packer.packArrayHeader(FIELDS);
            packer.packInt(header.type().ordinal());
            packer.packLong(header.sequence());
            packer.packString(header.from().name());
            packer.packString(header.fromAddress());
            packer.packLong(header.revision());
            packer.packLong(header.highestRevision());
            packer.packString(header.target().name());
            packer.packString(header.targetAddress());
            MemberCodec.packMembers(packer, updates);
            byte[] body = packer.toByteArray();
            byte[] datagram = new byte[TAG_BYTES + body.length];
            System.arraycopy(body, 0, datagram, TAG_BYTES, body.length);
            System.arraycopy(computeTag(datagram), 0, datagram, 0, TAG_BYTES);
            return datagram;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Verifies the authentication tag and decodes the datagram.
     *
     * @throws IllegalArgumentException if the tag does not match or the content is malformed
     */
    Datagram decode(byte[] datagram) {
        if (datagram.length <= TAG_BYTES
                || !MessageDigest.isEqual(computeTag(datagram), Arrays.copyOf(datagram, TAG_BYTES))) {
            throw new IllegalArgumentException("The authentication tag does not match");
        }
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(datagram, TAG_BYTES, datagram.length - TAG_BYTES)) {
            MemberCodec.expectArrayHeader(in, FIELDS);
            int type = in.unpackInt();
            if (type < 0 || type >= Datagram.Type.values().length) {
                throw new IllegalArgumentException(
                        "Unknown datagram type " + type + "; expected 0 to " + (Datagram.Type.values().length - 1));
            }
            return new Datagram(
                    Datagram.Type.values()[type],
                    in.unpackLong(),
                    HostId.of(in.unpackString()),
                    in.unpackString(),
                    in.unpackLong(),
                    in.unpackLong(),
                    HostId.of(in.unpackString()),
                    in.unpackString(),
                    MemberCodec.unpackMembers(in, MAX_UPDATES));
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("The content is malformed", e);
        }
    }

    private synchronized byte[] computeTag(byte[] datagram) {
        mac.update(CONTEXT);
        mac.update(datagram, TAG_BYTES, datagram.length - TAG_BYTES);
        return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
    }
}
