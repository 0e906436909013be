package org.sequoianotch.daemon.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.protocol.HeaderField;

/**
 * Encoding of the ledger's values in MessagePack.
 *
 * <p>A value is an array of its components. Decoding rejects a wrong type, a wrong length and trailing bytes. This
 * class is stateless and thread-safe.
 */
final class LedgerCodec {
    private static final int MAX_TEXT_LENGTH = StoredResponse.MAX_BYTES;
    private static final int MAX_ELEMENTS = 100_000;

    private LedgerCodec() {}

    /** Packs one value. */
    interface ValuePacker {
        void pack(MessagePacker packer) throws IOException;
    }

    /** Unpacks one value. */
    interface ValueUnpacker<T> {
        T unpack(MessageUnpacker unpacker) throws IOException;
    }

    /** A payload that does not follow the encoding. */
    static final class MalformedException extends IOException {
        MalformedException(String message) {
            super(message);
        }
    }

    static byte[] encode(ValuePacker valuePacker) {
        try (var packer = MessagePack.newDefaultBufferPacker()) {
            valuePacker.pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("Packing into memory cannot fail", e);
        }
    }

    static <T> T decode(byte[] payload, ValueUnpacker<T> valueUnpacker) throws MalformedException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            T value = valueUnpacker.unpack(unpacker);
            if (unpacker.hasNext()) {
                throw new MalformedException("Bytes follow the end of the value");
            }
            return value;
        } catch (MalformedException e) {
            throw e;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedException("The value is malformed: " + e);
        }
    }

    static void packTypeHeader(MessagePacker packer, int type, int components) throws IOException {
        packer.packArrayHeader(components + 1).packInt(type);
    }

    static void expectArray(MessageUnpacker unpacker, int components) throws IOException {
        int found = unpacker.unpackArrayHeader();
        if (found != components) {
            throw new MalformedException("An array has " + found + " elements instead of " + components);
        }
    }

    static int checkCount(int found) throws MalformedException {
        if (found > MAX_ELEMENTS) {
            throw new MalformedException("A list has " + found + " elements, more than " + MAX_ELEMENTS);
        }
        return found;
    }

    static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length > StoredResponse.MAX_BYTES) {
            throw new MalformedException(
                    "A byte string has " + length + " bytes, more than " + StoredResponse.MAX_BYTES);
        }
        return unpacker.readPayload(length);
    }

    static String unpackText(MessageUnpacker unpacker) throws IOException {
        String text = unpacker.unpackString();
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new MalformedException("A text has " + text.length() + " characters, more than " + MAX_TEXT_LENGTH);
        }
        return text;
    }

    static void packClaimId(MessagePacker packer, ClaimId id) throws IOException {
        packer.packLong(id.high()).packLong(id.low());
    }

    static ClaimId unpackClaimId(MessageUnpacker unpacker) throws IOException {
        return new ClaimId(unpacker.unpackLong(), unpacker.unpackLong());
    }

    static void packFingerprint(MessagePacker packer, Fingerprint fingerprint) throws IOException {
        packer.packLong(fingerprint.high()).packLong(fingerprint.low());
    }

    static Fingerprint unpackFingerprint(MessageUnpacker unpacker) throws IOException {
        return new Fingerprint(unpacker.unpackLong(), unpacker.unpackLong());
    }

    static void packIncarnation(MessagePacker packer, Incarnation incarnation) throws IOException {
        packer.packLong(incarnation.number()).packLong(incarnation.bootId());
    }

    static Incarnation unpackIncarnation(MessageUnpacker unpacker) throws IOException {
        return new Incarnation(unpacker.unpackLong(), unpacker.unpackLong());
    }

    static void packResponse(MessagePacker packer, @Nullable StoredResponse response) throws IOException {
        if (response == null) {
            packer.packNil();
            return;
        }
        packer.packArrayHeader(4).packInt(response.status()).packBoolean(response.tooLarge());
        packer.packArrayHeader(response.headers().size());
        for (HeaderField header : response.headers()) {
            packer.packArrayHeader(2).packString(header.name()).packString(header.value());
        }
        byte[] body = response.body();
        packer.packBinaryHeader(body.length).writePayload(body);
    }

    static @Nullable StoredResponse unpackResponse(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return null;
        }
        expectArray(unpacker, 4);
        int status = unpacker.unpackInt();
        boolean tooLarge = unpacker.unpackBoolean();
        int count = checkCount(unpacker.unpackArrayHeader());
        List<HeaderField> headers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            expectArray(unpacker, 2);
            headers.add(new HeaderField(unpackText(unpacker), unpackText(unpacker)));
        }
        return new StoredResponse(status, headers, unpackBytes(unpacker), tooLarge);
    }

    static void packClaims(MessagePacker packer, List<StoredClaim> claims) throws IOException {
        packer.packArrayHeader(claims.size());
        for (StoredClaim claim : claims) {
            packer.packArrayHeader(7);
            packClaimId(packer, claim.claimId());
            packFingerprint(packer, claim.fingerprint());
            packer.packLong(claim.deadlineMs()).packLong(claim.retainUntilMs());
            packResponse(packer, claim.response());
        }
    }

    static List<StoredClaim> unpackClaims(MessageUnpacker unpacker) throws IOException {
        int count = checkCount(unpacker.unpackArrayHeader());
        List<StoredClaim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            expectArray(unpacker, 7);
            claims.add(new StoredClaim(
                    unpackClaimId(unpacker),
                    unpackFingerprint(unpacker),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpackResponse(unpacker)));
        }
        return List.copyOf(claims);
    }

    static void packIncarnations(MessagePacker packer, Map<String, Incarnation> incarnations) throws IOException {
        packer.packMapHeader(incarnations.size());
        for (Map.Entry<String, Incarnation> entry : incarnations.entrySet()) {
            packer.packString(entry.getKey());
            packIncarnation(packer, entry.getValue());
        }
    }

    static Map<String, Incarnation> unpackIncarnations(MessageUnpacker unpacker) throws IOException {
        int count = checkCount(unpacker.unpackMapHeader());
        Map<String, Incarnation> incarnations = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            incarnations.put(unpackText(unpacker), unpackIncarnation(unpacker));
        }
        return incarnations;
    }

    static void packFormation(MessagePacker packer, @Nullable Formation formation) throws IOException {
        if (formation == null) {
            packer.packNil();
            return;
        }
        packer.packArrayHeader(3).packLong(formation.epoch()).packLong(formation.completeFromMs());
        packer.packMapHeader(formation.bootIds().size());
        for (Map.Entry<String, Long> entry : formation.bootIds().entrySet()) {
            packer.packString(entry.getKey()).packLong(entry.getValue());
        }
    }

    static @Nullable Formation unpackFormation(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return null;
        }
        expectArray(unpacker, 3);
        long epoch = unpacker.unpackLong();
        long completeFromMs = unpacker.unpackLong();
        int count = checkCount(unpacker.unpackMapHeader());
        Map<String, Long> bootIds = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            bootIds.put(unpackText(unpacker), unpacker.unpackLong());
        }
        return new Formation(epoch, completeFromMs, bootIds);
    }
}
