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
 * Encodes datagrams: 16 bytes of HMAC-SHA-256 under the deployment key, then a MessagePack array.
 *
 * <p>This class is thread-safe.
 */
final class DatagramCodec {
    /** Stays below the smallest common MTU, so that no datagram is split. */
    static final int MAX_BYTES = 1_200;

    static final int PROOF_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    /** Separates these proofs from those of the links, which use the same key. */
    private static final byte[] CONTEXT = "sequoianotch datagram 1".getBytes(StandardCharsets.US_ASCII);

    private static final int FIELDS = 9;
    private static final int MAX_NEWS = 100;

    private final Mac mac;

    DatagramCodec(String deploymentKey) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(deploymentKey.getBytes(StandardCharsets.UTF_8), ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA-256 is not available", e);
        }
    }

    /** Returns the datagram's length before any news, with room for the longest list header. */
    static int overheadBytes(Datagram head) {
        int names = head.from().name().length()
                + head.fromAddress().length()
                + head.target().name().length()
                + head.targetAddress().length();
        int integers = 4 * Long.BYTES;
        int headers = 20;
        return PROOF_BYTES + names + integers + headers;
    }

    byte[] encode(Datagram head, List<byte[]> news) {
        try (MessageBufferPacker packer = MemberCodec.newPacker()) {
            packer.packArrayHeader(FIELDS);
            packer.packInt(head.type().ordinal());
            packer.packLong(head.sequence());
            packer.packString(head.from().name());
            packer.packString(head.fromAddress());
            packer.packLong(head.revision());
            packer.packLong(head.highestRevision());
            packer.packString(head.target().name());
            packer.packString(head.targetAddress());
            MemberCodec.packAll(packer, news);
            byte[] body = packer.toByteArray();
            byte[] datagram = new byte[PROOF_BYTES + body.length];
            System.arraycopy(body, 0, datagram, PROOF_BYTES, body.length);
            System.arraycopy(proof(datagram), 0, datagram, 0, PROOF_BYTES);
            return datagram;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Checks the proof and decodes.
     *
     * @throws IllegalArgumentException if the proof or the form is wrong
     */
    Datagram decode(byte[] datagram) {
        if (datagram.length <= PROOF_BYTES
                || !MessageDigest.isEqual(proof(datagram), Arrays.copyOf(datagram, PROOF_BYTES))) {
            throw new IllegalArgumentException("The proof is wrong");
        }
        try (MessageUnpacker in =
                MessagePack.newDefaultUnpacker(datagram, PROOF_BYTES, datagram.length - PROOF_BYTES)) {
            MemberCodec.expectArray(in, FIELDS);
            int type = in.unpackInt();
            if (type < 0 || type >= Datagram.Type.values().length) {
                throw new IllegalArgumentException("There is no datagram type " + type);
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
                    MemberCodec.unpackAll(in, MAX_NEWS));
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("The form is wrong", e);
        }
    }

    private synchronized byte[] proof(byte[] datagram) {
        mac.update(CONTEXT);
        mac.update(datagram, PROOF_BYTES, datagram.length - PROOF_BYTES);
        return Arrays.copyOf(mac.doFinal(), PROOF_BYTES);
    }
}
